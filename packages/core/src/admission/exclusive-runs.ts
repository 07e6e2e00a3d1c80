import type {QueuedRequest} from './queued-request.js';
import type {TargetLimiter} from './target-limiter.js';

/** Longest time for which a target is kept free for a request that must run alone, in milliseconds; after it the request starts beside others. */
const maxReservationMs = 500;

type Reservation = {
	readonly request: string;
	/** Monotonic time at which the reservation ends unless the request runs. */
	readonly until: number;
	isRunning: boolean;
};

/**
 * Keeps targets free for requests that must run alone, as they may crash their target: what runs there ends first, and
 * nothing else starts beside them.
 */
export class ExclusiveRuns {
	private readonly reservations = new Map<string, Reservation>();

	/** Reserves the target with the fewest requests in flight for a request that must run alone. */
	reserve({id}: QueuedRequest, targets: readonly TargetLimiter[], now: number): void {
		const free = targets.filter(target => !this.isHeld(target.id, now));
		const [idlest] = free.toSorted((a, b) => a.inFlight - b.inFlight);
		if (idlest !== undefined) {
			this.reservations.set(idlest.id, {request: id, until: now + maxReservationMs, isRunning: false});
		}
	}

	/** Returns whether a request may start at a target as far as reservations go. */
	admits(target: TargetLimiter, request: QueuedRequest, now: number): boolean {
		const reservation = this.reservations.get(target.id);
		if (reservation?.request === request.id) {
			return target.inFlight === 0 || now >= reservation.until;
		}

		if (this.isHeld(target.id, now)) {
			return false;
		}

		return request.isAlone !== true || target.inFlight === 0;
	}

	/** Records the start of a request. */
	recordStart(target: TargetLimiter, request: QueuedRequest, now: number): void {
		if (request.isAlone !== true) {
			return;
		}

		this.release(request.id);
		if (target.inFlight === 0) {
			this.reservations.set(target.id, {request: request.id, until: now, isRunning: true});
		}
	}

	/** Records the end of a request at a target. */
	recordEnd(target: TargetLimiter): void {
		if (this.reservations.get(target.id)?.isRunning === true) {
			this.reservations.delete(target.id);
		}
	}

	/** Ends the reservation of a request that does not wait any more. */
	release(request: string): void {
		for (const [target, reservation] of this.reservations) {
			if (reservation.request === request) {
				this.reservations.delete(target);
			}
		}
	}

	private isHeld(target: string, now: number): boolean {
		const reservation = this.reservations.get(target);
		return reservation !== undefined && (reservation.isRunning || now < reservation.until);
	}
}
