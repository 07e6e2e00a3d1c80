import {
	digestKey, ErrorKind, type HostRoute, type Team, type TeamLimits, type TeamPermit,
} from '@bluebellyard/core';
import {failure, type FailedResult, type OrderResult} from '../dispatch/index.js';
import type {Metrics} from '../telemetry/index.js';
import type {View} from '../view/index.js';

/** A request that may run. */
export type AdmittedRequest = {
	readonly isAdmitted: true;
	/** Team of the caller; undefined without one. */
	readonly team: Team | undefined;
	/** Permit of the team's limit; undefined if there is none. */
	readonly permit: TeamPermit | undefined;
	/** Whether the configuration had teams, so that the headers with credentials are for this instance only. */
	readonly hasTeams: boolean;
};

/** A request that must not run. */
export type RejectedRequest = {
	readonly isAdmitted: false;
	/** Team of the caller; undefined if its key is missing or unknown. */
	readonly team: Team | undefined;
	readonly result: FailedResult;
};

/** Options of `TeamAdmission`. */
export type TeamAdmissionOptions = {
	readonly view: Pick<View, 'hasTeams' | 'findTeam'>;
	readonly metrics: Pick<Metrics, 'teamRequests' | 'unknownKeys' | 'teamLabels'>;
	/** Limits of the teams; without it no team is limited. */
	readonly limits?: TeamLimits;
};

const withoutTeams: AdmittedRequest = {
	isAdmitted: true, team: undefined, permit: undefined, hasTeams: false,
};

/** Decides at the receiving instance whether a caller may send a request, by the key of its team and the limit of the team. */
export class TeamAdmission {
	private readonly options: TeamAdmissionOptions;

	constructor(options: TeamAdmissionOptions) {
		this.options = options;
	}

	/** Decides about one request. `key` is the key that the caller states, `now` monotonic milliseconds. */
	decide(route: Pick<HostRoute, 'isPublic'>, key: string | undefined, now: number): AdmittedRequest | RejectedRequest {
		const {view, metrics} = this.options;
		if (!view.hasTeams) {
			return withoutTeams;
		}

		const team = key === undefined ? undefined : view.findTeam(digestKey(key));
		if (team !== undefined) {
			return this.decideByLimit(team, now);
		}

		if (route.isPublic === true) {
			return {...withoutTeams, hasTeams: true};
		}

		metrics.unknownKeys.inc();
		return {isAdmitted: false, team, result: failure(ErrorKind.UnknownKey, {reason: key === undefined ? 'no key' : 'unknown key'})};
	}

	/** Returns the permit of an admitted request that has not run. */
	settle({permit}: AdmittedRequest, result: OrderResult): void {
		if (permit !== undefined && result.kind === 'failure' && result.isNotRun) {
			this.options.limits?.giveBack(permit);
		}
	}

	private decideByLimit(team: Team, now: number): AdmittedRequest | RejectedRequest {
		const {limits} = this.options;
		const decision = team.ratePerSecond === undefined ? undefined : limits?.admit(team, now);
		if (decision?.permit === undefined && decision !== undefined) {
			this.count(team, 'rejected');
			const {retryAfterMs} = decision;
			return {isAdmitted: false, team, result: failure(ErrorKind.TeamLimit, {retryAfterMs, reason: `limit of team ${team.name}, ${team.ratePerSecond} a second`})};
		}

		this.count(team, 'admitted');
		return {
			isAdmitted: true, team, permit: decision?.permit, hasTeams: true,
		};
	}

	private count({name}: Team, result: 'admitted' | 'rejected'): void {
		const {metrics} = this.options;
		metrics.teamRequests.inc({team: metrics.teamLabels.labelOf(name), result});
	}
}
