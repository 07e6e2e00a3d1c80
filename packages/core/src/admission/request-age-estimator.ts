/** Number of wait times kept per route. */
const waitsPerRoute = 128;

/** Number of wait times after which the typical one is computed again. */
const waitsPerReview = 16;

/** Quantile taken as the typical wait of a first attempt; it is high because most waits are those of retries when many requests are refused. */
const typicalQuantile = 0.9;

/** Share of the typical wait below which a request counts as a retry; first attempts of callers with short timeouts lie above it. */
const minFirstAttemptShare = 0.85;

/** Least time between a rejection and the retry of its caller, in milliseconds: the shortest `Retry-After` that callers are told. */
const minReturnMs = 50;

type RouteWaits = {
	readonly waits: number[];
	next: number;
	typical: number;
};

/**
 * Estimates how long ago a caller first sent a request, from how long it will still wait.
 *
 * Used under overload, when refused callers retry: a retry is already late and is queued behind requests that can
 * still be answered in time. Where the timeouts of a route's callers differ a lot, requests with short timeouts are
 * taken for retries; they move back in the queue but are still served.
 */
export class RequestAgeEstimator {
	private readonly routes = new Map<string, RouteWaits>();

	/** Records a request whose caller will wait `waitMs` more. Returns how long the caller has waited already, in milliseconds; 0 for a first attempt. */
	estimate(route: string, waitMs: number): number {
		const row = this.routes.get(route) ?? {waits: [], next: 0, typical: 0};
		this.routes.set(route, row);
		row.waits[row.next] = waitMs;
		row.next = (row.next + 1) % waitsPerRoute;
		if (row.next % waitsPerReview === 0) {
			row.typical = row.waits.toSorted((a, b) => a - b)[Math.floor(row.waits.length * typicalQuantile)];
		}

		const isRepeat = waitMs < row.typical * minFirstAttemptShare;
		return isRepeat ? row.typical - waitMs : 0;
	}

	/**
	 * Returns whether the caller of a request that will wait `waitMs` more has probably sent it before. Recognizes callers
	 * that came back early and to which `estimate` gives age 0; takes more requests for retries where timeouts differ.
	 */
	isRetry(route: string, waitMs: number): boolean {
		const typical = this.routes.get(route)?.typical ?? 0;
		return waitMs <= Math.max(typical * minFirstAttemptShare, typical - minReturnMs);
	}
}
