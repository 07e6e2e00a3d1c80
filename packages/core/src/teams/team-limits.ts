import type {Team} from './team.js';

/** Permission to run one request of a team. */
export type TeamPermit = {
	readonly team: string;
};

/** Whether a request of a team may run: a permit, or the time until the team has room again, in milliseconds. */
export type TeamPermitDecision
	= | {readonly permit: TeamPermit}
		| {readonly permit: undefined; readonly retryAfterMs: number};

/** Decides how many requests of each team may run. */
export abstract class TeamLimits {
	/** Decides about one request. */
	abstract admit(team: Team, now: number): TeamPermitDecision;

	/** Returns the permit of a request that certainly has not run. */
	abstract giveBack(permit: TeamPermit): void;
}
