/**
 * Capacity that a queue keeps for callers that it rejected and told a time to come back.
 *
 * A reserved request is told from others by its return key and its deadline, as the caller sends it again under a new
 * id. From a fixed time before its deadline on, it starts before requests that can still meet their objective.
 */
import type {ErrorKind} from '../errors/index.js';
import {
	createRefusal, timeToRoom, type QueuedRequest, type RequestRefusal,
} from './queued-request.js';

/** What happens to a reservation. */
export enum ReservationEvent {
	/** A rejected caller was told a time for which capacity is reserved. */
	Made = 'made',
	/** The caller came back and its request was queued. */
	Used = 'used',
	/** The caller did not come back in time. */
	Expired = 'expired',
}

type Reservation = {
	readonly returnKey: string;
	readonly priority: number;
	readonly workMs: number;
	/** When the caller is told to come back, in monotonic milliseconds. */
	readonly startAt: number;
	readonly deadline: number;
};

/** State of a queue that rejects a request. */
export type ReservationState = {
	/** Time that the request would need without a reservation, in milliseconds. */
	readonly neededMs: number;
	readonly waiting: Iterable<QueuedRequest>;
	/** Work that the targets do per millisecond, in milliseconds. */
	readonly capacity: number;
	readonly now: number;
};

/** Share of its remaining time that a caller waits at most before it comes back. */
const maxReturnShare = 1 / 3;

/** Time after its start at which an unused reservation is released, in milliseconds; a new connection to another instance takes less. */
const maxDelayMs = 250;

/** Largest difference between the deadlines of a request and its return, in milliseconds; the time on the way is not part of the deadline. */
const deadlineToleranceMs = 100;

/** Largest number of reservations of a queue; limits memory, as the share of the capacity limits them first. */
const maxReservations = 256;

/** Share of the reservations that is expected to be used; keys move to other queues meanwhile, and some callers don't come back. */
const usedShare = 0.5;

/** Reservations of one queue. */
export class Reservations {
	private readonly open = new Map<string, Reservation[]>();
	private count = 0;
	private enabled = false;
	private readonly onEvent: (event: ReservationEvent) => void;

	/** `onEvent` is called for each reservation that is made, used or expired. */
	constructor(onEvent: (event: ReservationEvent) => void = () => undefined) {
		this.onEvent = onEvent;
	}

	/** Whether rejected callers may get a reservation. */
	get isEnabled(): boolean {
		return this.enabled;
	}

	/** Turns reservations on or off. Turning them off releases those that are open. */
	setEnabled(isEnabled: boolean): void {
		this.enabled = isEnabled;
		if (!isEnabled && this.count > 0) {
			this.open.clear();
			this.count = 0;
		}
	}

	/**
	 * Returns the rejection of a request, with a reservation if capacity can be reserved before its deadline. `neededMs` is
	 * the time that the request would need without one.
	 */
	reject(request: QueuedRequest, error: ErrorKind, state: ReservationState): RequestRefusal {
		const {neededMs, now} = state;
		const delayMs = this.enabled ? this.reserve(request, state) : undefined;
		const refusal = createRefusal(request, error, delayMs ?? timeToRoom(request, neededMs, now));
		return this.enabled ? {...refusal, isReserved: delayMs !== undefined} : refusal;
	}

	/** Uses the reservation of a request that came back. Returns whether there is one. A caller that comes back early uses it, too. */
	claim({returnKey, deadline}: QueuedRequest, now: number): boolean {
		this.expire(now);
		const known = returnKey === undefined ? undefined : this.open.get(returnKey);
		const match = known?.find(reservation => Math.abs(reservation.deadline - deadline) <= deadlineToleranceMs);
		if (match === undefined) {
			return false;
		}

		this.remove(match);
		this.onEvent(ReservationEvent.Used);
		return true;
	}

	/** Returns the work that is expected of the open reservations that are at least as urgent as a priority, in milliseconds. */
	expectedWorkMs(priority: number): number {
		return this.totalWorkMs(priority) * usedShare;
	}

	/** Releases the reservations that were not used in time. */
	expire(now: number): void {
		if (this.count === 0) {
			return;
		}

		for (const list of this.open.values()) {
			for (const reservation of list.filter(({startAt}) => now > startAt + maxDelayMs)) {
				this.remove(reservation);
				this.onEvent(ReservationEvent.Expired);
			}
		}
	}

	/** Reserves capacity. Returns the time until the caller may come back, in milliseconds; undefined if there is no capacity left before the deadline. */
	private reserve(request: QueuedRequest, {waiting, capacity, now}: ReservationState): number | undefined {
		this.expire(now);
		const {
			returnKey, workMs, deadline, priority, hasReturned,
		} = request;
		const delayMs = (deadline - now) * maxReturnShare;
		const startAt = now + delayMs;
		// A caller comes back once or twice in all, so that a second reservation would often be unused.
		if (returnKey === undefined || hasReturned === true || this.count >= maxReservations || startAt + workMs > deadline) {
			return undefined;
		}

		let reservedMs = this.totalWorkMs(priority) + workMs;
		for (const other of waiting) {
			reservedMs += other.isReserved === true ? other.workMs : 0;
		}

		if (reservedMs * usedShare > (deadline - startAt) * capacity) {
			return undefined;
		}

		const reservation = {
			returnKey, priority, workMs, startAt, deadline,
		};
		this.open.set(returnKey, [...(this.open.get(returnKey) ?? []), reservation]);
		this.count += 1;
		this.onEvent(ReservationEvent.Made);
		return delayMs;
	}

	private totalWorkMs(priority: number): number {
		let sum = 0;
		for (const list of this.open.values()) {
			for (const reservation of list) {
				sum += reservation.priority <= priority ? reservation.workMs : 0;
			}
		}

		return sum;
	}

	private remove(reservation: Reservation): void {
		const {returnKey} = reservation;
		const rest = this.open.get(returnKey)!.filter(other => other !== reservation);
		this.count -= 1;
		if (rest.length === 0) {
			this.open.delete(returnKey);
		} else {
			this.open.set(returnKey, rest);
		}
	}
}
