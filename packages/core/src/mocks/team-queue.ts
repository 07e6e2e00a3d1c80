/** Plays one admission queue that several teams share, without a network. */
import {
	AdmissionQueue, AttemptOutcome, type QueueDecision, type RequestStart,
} from '../admission/index.js';
import {seededRandom} from '../random/index.js';

/** Load of one team. */
export type QueueTeam = {
	readonly name: string;
	readonly perSecond: number;
};

/** The load and the target. Times are milliseconds. */
export type TeamQueueCfg = {
	readonly seed: number;
	readonly teams: readonly QueueTeam[];
	readonly slots: number;
	readonly workMs: number;
	readonly objectiveMs: number;
	readonly timeoutMs: number;
	readonly durationMs: number;
	/** Whether the queue knows the teams. */
	readonly hasTeams: boolean;
};

const tickMs = 5;

/** Plays the load and returns the share of the requests of each team that is served before its deadline. */
export function playTeamQueue(cfg: TeamQueueCfg): Map<string, number> {
	const {teams, slots, workMs, objectiveMs, timeoutMs, durationMs, hasTeams} = cfg;
	const queue = new AdmissionQueue();
	queue.setTarget({id: 't', slots, coldRate: 1000});
	// Each team has numbers of its own, so that a flood of one does not change the arrivals of the others.
	const sources = teams.map((team, i) => ({team, random: seededRandom((cfg.seed * 101) + i), nextAt: 0}));
	const teamById = new Map<string, string>();
	const sent = new Map<string, number>();
	const served = new Map<string, number>();
	let running: Array<{readonly start: RequestStart; readonly endsAt: number}> = [];
	const workRandom = seededRandom(cfg.seed + 7);
	const apply = ({starts}: QueueDecision, now: number) => {
		running.push(...starts.map(start => ({start, endsAt: now + (workMs * (0.5 + workRandom()))})));
	};

	let nextId = 1;
	for (let now = 0; now < durationMs; now += tickMs) {
		const ended = running.filter(({endsAt}) => endsAt <= now);
		running = running.filter(({endsAt}) => endsAt > now);
		for (const {start: {request, limiter}, endsAt} of ended) {
			const team = teamById.get(request.id)!;
			served.set(team, (served.get(team) ?? 0) + (endsAt <= request.deadline ? 1 : 0));
			apply(queue.finish(limiter, AttemptOutcome.Answered, 1, now), now);
		}

		for (const source of sources) {
			for (; source.nextAt <= now; source.nextAt -= Math.log(source.random()) * 1000 / source.team.perSecond) {
				const {name} = source.team;
				const id = String(nextId++);
				teamById.set(id, name);
				sent.set(name, (sent.get(name) ?? 0) + 1);
				apply(queue.offer({
					id, priority: 1, objectiveAt: now + objectiveMs, deadline: now + timeoutMs, workMs, ...(hasTeams && {team: name}),
				}, now), now);
			}
		}

		apply(queue.tick(now), now);
	}

	return new Map(teams.map(({name}) => [name, (served.get(name) ?? 0) / sent.get(name)!]));
}
