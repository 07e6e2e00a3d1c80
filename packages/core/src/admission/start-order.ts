import type {TeamShares} from '../teams/index.js';
import {
	isRankedLate, precedes, type QueuedRequest, type TeamRank,
} from './queued-request.js';

/** What an order is made for. */
export type StartOrderCfg = {
	/** All requests that are compared; none if no request has a team. */
	readonly requests: readonly QueuedRequest[];
	/** Work that the targets do per millisecond, in milliseconds. */
	readonly capacity: number;
	readonly now: number;
};

/** Order in which the requests of a queue start, at one time. */
export class StartOrder {
	/** Ranks of the requests; undefined if none has a team. */
	private readonly ranks: ReadonlyMap<string, TeamRank> | undefined;

	constructor(private readonly shares: TeamShares, private readonly cfg: StartOrderCfg) {
		if (cfg.requests.length > 0) {
			this.ranks = this.assignRanks(cfg);
		}
	}

	/** Returns whether request `a` starts before `b`. */
	precedes(a: QueuedRequest, b: QueuedRequest): boolean {
		return precedes(a, b, this.cfg.now, this.ranks);
	}

	/** Returns the tag by which a request is ordered. */
	tagOf(request: QueuedRequest): number {
		return this.ranks?.get(request.id)?.tag ?? this.shares.tagOf(request);
	}

	private assignRanks({requests, capacity, now}: StartOrderCfg): ReadonlyMap<string, TeamRank> {
		const ranks = new Map<string, TeamRank>();
		const capacityOfTeam = capacity / new Set(requests.map(({team}) => team)).size;
		const groups = new Map<string, QueuedRequest[]>();
		for (const request of requests) {
			const isRequestLate = isRankedLate(request, now);
			const tag = this.shares.tagOf(request);
			if (request.team === undefined) {
				const key = `${isRequestLate}/${request.priority}`;
				const group = groups.get(key) ?? [];
				group.push(request);
				groups.set(key, group);
				ranks.set(request.id, {tag, isLate: isRequestLate});
			} else {
				// A request that its team's own backlog makes late must not overtake late ones of other teams.
				const waitMs = (tag - this.shares.virtualTime(request.priority)) / capacityOfTeam;
				ranks.set(request.id, {tag, isLate: isRequestLate || isRankedLate(request, now + waitMs)});
			}
		}

		// The tags of requests without a team are given to them in the order that they have among themselves.
		for (const group of groups.values()) {
			const tags = group.map(({id}) => ranks.get(id)!.tag).toSorted((a, b) => a - b);
			for (const [i, {id}] of group.toSorted((a, b) => precedes(a, b, now) ? -1 : 1).entries()) {
				ranks.set(id, {...ranks.get(id)!, tag: tags[i]});
			}
		}

		return ranks;
	}
}
