import type {Rng} from './rng.js';

type Event = {
	readonly at: number;
	/** Orders events of the same time. */
	readonly rank: number;
	readonly run: () => void;
};

/** Events in order of their true time in milliseconds; those of the same time in seeded order. */
export class EventQueue {
	/** True time now. */
	now = 0;
	/** Latest first, so that the next event is taken from the end. */
	private readonly events: Event[] = [];
	private readonly rng: Rng;

	constructor(rng: Rng) {
		this.rng = rng;
	}

	/** Runs `run` after `ms` of true time. */
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

	/** Runs all events up to a true time, or until `isDone`. */
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
