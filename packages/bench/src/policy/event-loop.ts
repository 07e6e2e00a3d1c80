type Event = {
	readonly at: number;
	readonly sequence: number;
	readonly run: () => void;
};

/**
 * Runs callbacks in order of simulated time; callbacks of the same time run in the order in which they were scheduled.
 */
export class EventLoop {
	private readonly events: Event[] = [];
	private lastSequence = 0;
	private currentMs = 0;

	/** Current simulated time, in milliseconds. */
	get now(): number {
		return this.currentMs;
	}

	/** Schedules `run` after `delayMs` milliseconds of simulated time. */
	schedule(delayMs: number, run: () => void): void {
		this.lastSequence += 1;
		this.push({at: this.currentMs + Math.max(0, delayMs), sequence: this.lastSequence, run});
	}

	/** Schedules `run` every `intervalMs` milliseconds of simulated time. */
	scheduleEvery(intervalMs: number, run: () => void): void {
		this.schedule(intervalMs, () => {
			run();
			this.scheduleEvery(intervalMs, run);
		});
	}

	/** Runs all events up to and including `endMs`, in milliseconds of simulated time. */
	runUntil(endMs: number): void {
		for (let event = this.events[0]; event !== undefined && event.at <= endMs; event = this.events[0]) {
			this.pop();
			this.currentMs = event.at;
			event.run();
		}

		this.currentMs = endMs;
	}

	private push(event: Event): void {
		let idx = this.events.length;
		this.events.push(event);
		while (idx > 0) {
			const parent = Math.floor((idx - 1) / 2);
			if (isBefore(this.events[parent], event)) {
				break;
			}

			this.events[idx] = this.events[parent];
			idx = parent;
		}

		this.events[idx] = event;
	}

	private pop(): void {
		const last = this.events.pop();
		const size = this.events.length;
		if (last === undefined || size === 0) {
			return;
		}

		let idx = 0;
		for (;;) {
			const left = (2 * idx) + 1;
			if (left >= size) {
				break;
			}

			const right = left + 1;
			const child = right < size && isBefore(this.events[right], this.events[left]) ? right : left;
			if (isBefore(last, this.events[child])) {
				break;
			}

			this.events[idx] = this.events[child];
			idx = child;
		}

		this.events[idx] = last;
	}
}

function isBefore(a: Event, b: Event): boolean {
	return a.at === b.at ? a.sequence < b.sequence : a.at < b.at;
}
