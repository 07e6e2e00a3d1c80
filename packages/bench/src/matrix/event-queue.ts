import type {Rng} from './rng.js';

type Event = {
	/** Simulation time in milliseconds. */
	readonly at: number;
	/** Random; orders events of the same time. */
	readonly rank: number;
	readonly run: () => void;
};

/** Runs events in order of simulation time, in milliseconds. Events of the same time run in an order that the seed determines. */
export class EventQueue {
	/** Current simulation time. */
	now = 0;
	/** Sorted with the latest event first, so that the next one is removed from the end. */
	private readonly events: Event[] = [];
	private readonly rng: Rng;

	constructor(rng: Rng) {
		this.rng = rng;
	}

	/** Schedules `run` after `ms` of simulation time. */
	schedule(ms: number, run: () => void): void {
		const event = {at: this.now + ms, rank: this.rng.float(), run};
		let low = 0;
		let high = this.events.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (isBefore(event, this.events[middle])) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.events.splice(low, 0, event);
	}

	/** Runs all events up to the given simulation time, or until `isDone` returns true. */
	runUntil(time: number, isDone: () => boolean = () => false): void {
		while (!isDone() && (this.events.at(-1)?.at ?? Infinity) <= time) {
			const event = this.events.pop()!;
			this.now = event.at;
			event.run();
		}

		if (!isDone()) {
			this.now = time;
		}
	}
}

function isBefore(a: Event, b: Event): boolean {
	return a.at < b.at || (a.at === b.at && a.rank < b.rank);
}
