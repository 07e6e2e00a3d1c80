const none: ReadonlySet<string> = new Set<string>();

/** What an instance has read in the store itself, beside the view of its leader. */
export class DirectReading {
	private evacuatedDomains = none;
	private leftTargets = none;
	private changes = 0;

	/** Failure domains that operators took out of service. */
	get evacuated(): ReadonlySet<string> {
		return this.evacuatedDomains;
	}

	/** Ids of targets that are draining or have no entry any more. */
	get left(): ReadonlySet<string> {
		return this.leftTargets;
	}

	/** Increases with each change. */
	get revision(): number {
		return this.changes;
	}

	/** Replaces the evacuated failure domains. Returns false if nothing changes. */
	setEvacuated(domains: ReadonlySet<string>): boolean {
		const isSame = isSameSet(domains, this.evacuatedDomains);
		this.evacuatedDomains = domains;
		this.changes += isSame ? 0 : 1;
		return !isSame;
	}

	/** Replaces the targets that left. Returns false if nothing changes. */
	setLeft(targets: ReadonlySet<string>): boolean {
		const isSame = isSameSet(targets, this.leftTargets);
		this.leftTargets = targets;
		this.changes += isSame ? 0 : 1;
		return !isSame;
	}

	/** Forgets all, as the view has it now. Returns false if there was nothing. */
	clear(): boolean {
		const hadDomains = this.setEvacuated(none);
		return this.setLeft(none) || hadDomains;
	}
}

/** Returns whether two sets have the same items. */
export function isSameSet(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
	return a.size === b.size && [...a].every(item => b.has(item));
}
