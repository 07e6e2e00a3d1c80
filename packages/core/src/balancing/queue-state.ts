import type {QueueLoad} from './queue-load.js';

/** Half-life of the work ahead in a known state, in milliseconds; about the time in which a queue drains. */
const halfLifeMs = 400;

/** Age from which a state counts as unknown, in milliseconds, so that the queue is tried again. */
const maxAgeMs = 2000;

/** Longest time for which a queue that refused a request counts as full, in milliseconds. */
const maxFullMs = 600;

/** What an instance expects of a queue. */
export type ExpectedLoad = QueueLoad & {
	/** Age of the state that this is based on, in milliseconds; undefined if none is known. */
	readonly ageMs: number | undefined;
	/** Whether the queue refused a request recently and has served none since. */
	readonly isFull: boolean;
};

/** What an instance knows of the load of one queue: what the steward told last, and the requests that it sent there since. */
export class QueueState {
	private known: (QueueLoad & {readonly steward: string | undefined; readonly at: number}) | undefined;
	/** Work of the own requests in flight that were sent since the known state, in milliseconds. */
	private sentMs = 0;
	/** Number of states so far, to tell requests that were sent before the known state. */
	private generation = 0;
	private fullUntil = Number.NEGATIVE_INFINITY;

	/** Records the load that a steward told. It includes the requests that were sent before. */
	recordLoad({capacity, aheadMs}: QueueLoad, steward: string | undefined, now: number): void {
		this.known = {
			capacity, aheadMs, steward, at: now,
		};
		this.sentMs = 0;
		this.generation += 1;
	}

	/** Records that a request of this much work, in milliseconds, was sent. The returned function records its end and is called once. */
	recordSend(workMs: number): () => void {
		const {generation} = this;
		this.sentMs += workMs;
		return () => {
			if (generation === this.generation) {
				this.sentMs -= workMs;
			}
		};
	}

	/** Records that the queue refused a request. */
	recordRefusal(now: number): void {
		this.fullUntil = now + maxFullMs;
	}

	/** Records that the queue served a request. */
	recordAnswer(): void {
		this.fullUntil = Number.NEGATIVE_INFINITY;
	}

	/** Returns the expected load. Without a recent state of the present steward there is no work ahead but the own and the capacity is `slots`. */
	expect(steward: string | undefined, slots: number, now: number): ExpectedLoad {
		const isFull = now < this.fullUntil;
		const {known} = this;
		if (known === undefined || known.steward !== steward || now - known.at > maxAgeMs) {
			return {
				capacity: slots, aheadMs: this.sentMs, ageMs: undefined, isFull,
			};
		}

		const ageMs = now - known.at;
		return {
			capacity: known.capacity, aheadMs: (known.aheadMs * (0.5 ** (ageMs / halfLifeMs))) + this.sentMs, ageMs, isFull,
		};
	}
}
