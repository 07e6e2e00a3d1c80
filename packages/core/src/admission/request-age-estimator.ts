/** Waits that are remembered of each route. */
const rememberedWaits = 128;

/** Waits between two looks at what is typical. */
const reviewEvery = 16;

/** Part of the waits that are shorter than the typical first one: most waits are those of repeats when callers are refused a lot. */
const typicalQuantile = 0.9;

/** Part of the typical wait that the first attempt of an impatient caller has at least. */
const impatientShare = 0.85;

type RouteWaits = {
	readonly waits: number[];
	next: number;
	typical: number;
};

/**
 * Tells how long ago a caller asked for the first time, from how long it will still wait.
 *
 * Answers overload with callers that come back: a request that was refused before is already late, and goes behind
 * requests that can still be answered in time. Where the callers of a route differ a lot in their patience, impatient
 * ones are taken for repeats; they lose their place in the queue only, not their turn.
 */
export class RequestAgeEstimator {
	private readonly routes = new Map<string, RouteWaits>();

	/** Takes a request that will wait `waitMs` and answers for how long its caller has waited, in milliseconds; 0 for a first attempt. */
	estimate(route: string, waitMs: number): number {
		const row = this.routes.get(route) ?? {waits: [], next: 0, typical: 0};
		this.routes.set(route, row);
		row.waits[row.next] = waitMs;
		row.next = (row.next + 1) % rememberedWaits;
		if (row.next % reviewEvery === 0) {
			row.typical = row.waits.toSorted((a, b) => a - b)[Math.floor(row.waits.length * typicalQuantile)];
		}

		const isRepeat = waitMs < row.typical * impatientShare;
		return isRepeat ? row.typical - waitMs : 0;
	}
}
