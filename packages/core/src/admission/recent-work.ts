import {isLate, type QueuedRequest} from './queued-request.js';

/** Half-life of the measured load of requests in time, in milliseconds; about the time in which a queue drains. */
const loadHalfLifeMs = 1000;

/** Lower bound of the capacity used to estimate waits, in slots of normal speed. */
export const minCapacity = 0.01;

/** Work of a request that is assumed before any was admitted, in milliseconds. */
export const assumedWorkMs = 100;

/** Weight of one request in the mean work. */
const workWeight = 0.1;

/** Measures the work that a queue admitted recently. */
export class RecentWork {
	/** Work of the requests in time, as an exponentially decaying sum in milliseconds. */
	private sumMs = 0;
	private sumAt = 0;
	private mean: number | undefined;

	/** Mean work of a request, in milliseconds. */
	get meanMs(): number {
		return this.mean ?? assumedWorkMs;
	}

	/** Records an admitted request. */
	record(request: QueuedRequest, now: number): void {
		this.decay(now);
		this.sumMs += isLate(request, now) ? 0 : request.workMs;
		this.mean ??= request.workMs;
		this.mean += (request.workMs - this.mean) * workWeight;
	}

	/** Returns the share of the capacity that requests in time leave for late ones, at least `minShare`. */
	lateShare(capacity: number, minShare: number, now: number): number {
		this.decay(now);
		const load = this.sumMs * Math.LN2 / loadHalfLifeMs;
		return Math.max(minShare, 1 - (load / Math.max(minCapacity, capacity)));
	}

	private decay(now: number): void {
		this.sumMs *= 0.5 ** ((now - this.sumAt) / loadHalfLifeMs);
		this.sumAt = now;
	}
}
