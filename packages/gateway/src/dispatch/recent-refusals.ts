import type {Order} from './order.js';

/** Time for which a refusal of a dispatch queue is applied to later requests, in milliseconds; the queue that refused takes at least three times as long to drain. */
const validMs = 100;

/** Largest number of refusals kept at a time. */
const maxRefusals = 2048;

/** What requests share that a dispatch queue orders alike; the team decides the priority beside the route. */
export type RefusedKind = Pick<Order, 'route' | 'team'>;

/** Time that a request has left, in milliseconds. */
export type TimeLeft = {
	/** Time until the answer misses the latency objective. */
	readonly objectiveMs: number;
	/** Time until the deadline, after which the answer is useless. */
	readonly deadlineMs: number;
};

type Refusal = {
	readonly left: TimeLeft;
	readonly at: number;
	/** When the request may be retried, in monotonic milliseconds. */
	readonly retryAt: number;
};

/**
 * Remembers what the dispatch queues of other instances refused recently. During
 * a burst on one target, requests that its steward would refuse are refused here,
 * without being forwarded.
 */
export class RecentRefusals {
	private readonly refusals = new Map<string, Refusal>();

	/** Records that a request was refused because it had too little time left. */
	record(queueId: string, kind: RefusedKind, left: TimeLeft, {now, retryAfterMs}: {now: number; retryAfterMs: number}): void {
		if (this.refusals.size >= maxRefusals) {
			this.refusals.clear();
		}

		this.refusals.set(key(queueId, kind), {left, at: now, retryAt: now + retryAfterMs});
	}

	/** Returns the retry delay in milliseconds for a request that has no more time left than the refused one, or undefined if the request may be sent. */
	retryAfterMs(queueId: string, kind: RefusedKind, left: TimeLeft, now: number): number | undefined {
		const refusal = this.refusals.get(key(queueId, kind));
		if (refusal === undefined || now - refusal.at >= validMs) {
			return undefined;
		}

		const hasMore = left.objectiveMs > refusal.left.objectiveMs || left.deadlineMs > refusal.left.deadlineMs;
		return hasMore ? undefined : Math.max(0, refusal.retryAt - now);
	}
}

function key(queueId: string, {route, team = ''}: RefusedKind): string {
	return `${queueId} ${route} ${team}`;
}
