/** Number of characters of a digest that select a group: 4096 groups, so that 100,000 keys are 24 a group. */
const groupLength = 2;

const lineStart = '\n';
const nameStart = '=';

/**
 * Digests of the keys of all teams, in groups by the first characters of the digest. A group is one string of lines with
 * the rest of a digest and the name of its team. Groups instead of rows per key keep a change of a few among 100,000 keys
 * small, and the work for all of them below 50 ms. The same keys give the same groups in whatever order they were added.
 */
export class TeamKeys {
	/** Returns the keys of a list of digests with the names of their teams. */
	static of(keys: Iterable<readonly [digest: string, team: string]>): TeamKeys {
		const builder = new TeamKeysBuilder();
		for (const [digest, team] of keys) {
			builder.add(digest, team);
		}

		return builder.build();
	}

	/** Groups by the first characters of the digests. */
	readonly groups: ReadonlyMap<string, string>;
	/** Number of keys. */
	readonly size: number;

	constructor(groups: ReadonlyMap<string, string>, size: number) {
		this.groups = groups;
		this.size = size;
	}
}

/** Collects the keys of teams. */
export class TeamKeysBuilder {
	private readonly groups = new Map<string, {readonly digests: string[]; readonly teams: string[]}>();
	private size = 0;

	/** Adds a digest with the name of its team, which has no line break. If it was added before, returns the name of the team that has it and changes nothing. */
	add(digest: string, team: string): string | undefined {
		const name = groupOf(digest);
		const group = this.groups.get(name);
		if (group === undefined) {
			this.groups.set(name, {digests: [digest], teams: [team]});
		} else {
			const known = group.digests.indexOf(digest);
			if (known !== -1) {
				return group.teams[known];
			}

			group.digests.push(digest);
			group.teams.push(team);
		}

		this.size += 1;
		return undefined;
	}

	/** Returns the keys added. */
	build(): TeamKeys {
		const steps = this.buildInSteps();
		let step = steps.next();
		while (step.done !== true) {
			step = steps.next();
		}

		return step.value;
	}

	/** Does the same in a step per group, so that the caller can do other work between them. */
	* buildInSteps(): Generator<void, TeamKeys> {
		const groups = new Map<string, string>();
		for (const [name, {digests, teams}] of this.groups) {
			groups.set(name, digests.map((digest, i) => lineStart + digest.slice(groupLength) + nameStart + teams[i]).toSorted().join(''));
			yield;
		}

		return new TeamKeys(groups, this.size);
	}
}

/** Returns the group of a digest. */
export function groupOf(digest: string): string {
	return digest.slice(0, groupLength);
}

/** Returns the name of the team that has a digest of the group; undefined if no team has it. */
export function findInGroup(group: string, digest: string): string | undefined {
	const prefix = lineStart + digest.slice(groupLength) + nameStart;
	const start = group.indexOf(prefix);
	if (start === -1) {
		return undefined;
	}

	const end = group.indexOf(lineStart, start + 1);
	return group.slice(start + prefix.length, end === -1 ? undefined : end);
}
