import type {QueuedRequest} from '../admission/queued-request.js';

/** Number of teams per queue from which finish tags that no longer matter are removed. */
const maxFinishTags = 256;

/**
 * Time in which the targets do the work that a team may be ahead of the others if it used less than its part before, in
 * milliseconds. Without it, a flood at full load took up to 0.054 of the served requests of the others, as quiet moments
 * of a team went to the flood; it is also the longest time for which a team that was idle delays the others.
 */
const creditMs = 250;

/**
 * Fair order between the teams of one queue, by start-time fair queueing: the tag of a request is the virtual time less a
 * credit, or the end of the earlier work of its team, whichever is later. Priorities are separate. Requests without a team together
 * count as one.
 */
export class TeamShares {
	private readonly tags = new Map<string, number>();
	private readonly finishTags = new Map<string, number>();
	/** Tag of the request that started last, by priority. */
	private readonly virtualTimes = new Map<number, number>();
	private waitingOfTeams = 0;
	/** Work by which a team that was idle may be ahead of the others, in milliseconds. */
	private credit = 0;
	private pruneAt = maxFinishTags;

	/** Whether a request with a team waits; without one, tags do not matter. */
	get isActive(): boolean {
		return this.waitingOfTeams > 0;
	}

	/** Sets the work that the targets do per millisecond, in milliseconds. */
	setCapacity(capacity: number): void {
		this.credit = capacity * creditMs;
	}

	/** Returns the tag of the request of a priority that started last. */
	virtualTime(priority: number): number {
		return this.virtualTimes.get(priority) ?? 0;
	}

	/** Returns the tag of a request, or the one that it would get. */
	tagOf(request: QueuedRequest): number {
		const {id, priority} = request;
		return this.tags.get(id) ?? Math.max(this.virtualTime(priority) - this.credit, this.finishTags.get(flowOf(request)) ?? 0);
	}

	/** Records that a request waits. */
	add(request: QueuedRequest): void {
		const tag = this.tagOf(request);
		this.tags.set(request.id, tag);
		this.finishTags.set(flowOf(request), tag + request.workMs);
		this.waitingOfTeams += request.team === undefined ? 0 : 1;
	}

	/** Records that a waiting request starts. `tag` is the one by which it was ordered. */
	start(request: QueuedRequest, tag: number): void {
		this.forget(request);
		const {priority} = request;
		this.virtualTimes.set(priority, Math.max(this.virtualTime(priority), tag));
		if (this.finishTags.size > this.pruneAt) {
			this.prune();
		}
	}

	/** Records that a request no longer waits and does not run, so that its team does not pay for it. */
	remove(request: QueuedRequest): void {
		if (this.forget(request)) {
			const flow = flowOf(request);
			this.finishTags.set(flow, (this.finishTags.get(flow) ?? 0) - request.workMs);
		}
	}

	private forget(request: QueuedRequest): boolean {
		const wasKnown = this.tags.delete(request.id);
		this.waitingOfTeams -= wasKnown && request.team !== undefined ? 1 : 0;
		return wasKnown;
	}

	private prune(): void {
		const earliest = Math.min(...this.virtualTimes.values()) - this.credit;
		for (const [flow, finish] of this.finishTags) {
			if (finish <= earliest) {
				this.finishTags.delete(flow);
			}
		}

		// Many teams at once must not cost a scan at each start.
		this.pruneAt = Math.max(maxFinishTags, 2 * this.finishTags.size);
	}
}

function flowOf({priority, team}: QueuedRequest): string {
	return team === undefined ? String(priority) : `${priority}/${team}`;
}
