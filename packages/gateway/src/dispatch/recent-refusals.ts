/** Time for which a refusal of a desk speaks for later requests, in milliseconds: the queue behind it is at least three times as long. */
const validMs = 100;

/** Refusals that are remembered. */
const maxRefusals = 2048;

/** What a request still has, in milliseconds. */
export type TimeLeft = {
	/** Until its answer is late. */
	readonly objectiveMs: number;
	/** Until its answer is worthless. */
	readonly deadlineMs: number;
};

type Refusal = {
	readonly left: TimeLeft;
	readonly at: number;
	/** When to come back. */
	readonly retryAt: number;
};

/**
 * What the desks of other instances refused a moment ago.
 *
 * Answers a burst on one target: requests that would be refused there are refused here, sooner and without the way.
 */
export class RecentRefusals {
	private readonly rows = new Map<string, Refusal>();

	/** Takes a refusal for want of time. */
	record(desk: string, route: string, left: TimeLeft, {now, retryAfterMs}: {now: number; retryAfterMs: number}): void {
		if (this.rows.size >= maxRefusals) {
			this.rows.clear();
		}

		this.rows.set(key(desk, route), {left, at: now, retryAt: now + retryAfterMs});
	}

	/** When a request that has no more time left than the refused one should come back, in milliseconds from now; undefined when it may be tried. */
	retryAfterMs(desk: string, route: string, left: TimeLeft, now: number): number | undefined {
		const row = this.rows.get(key(desk, route));
		if (row === undefined || now - row.at >= validMs) {
			return undefined;
		}

		const hasMore = left.objectiveMs > row.left.objectiveMs || left.deadlineMs > row.left.deadlineMs;
		return hasMore ? undefined : Math.max(0, row.retryAt - now);
	}
}

function key(desk: string, route: string): string {
	return `${desk} ${route}`;
}
