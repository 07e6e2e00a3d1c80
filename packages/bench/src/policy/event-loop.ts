type Event = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

/**
 * Runs callbacks in order of simulated time; equal times in order of scheduling.
 */
export class EventLoop {
	private readonly events: Event[] = [];
	private order = 0;
	private current = 0;

	/** Simulated time in milliseconds. */
	get now(): number {
		return this.current;
	}

	/** Runs `run` after `ms` milliseconds of simulated time. */
	schedule(ms: number, run: () => void): void {
		this.order += 1;
		this.push({at: this.current + Math.max(0, ms), order: this.order, run});
	}

	/** Runs `run` every `ms` milliseconds of simulated time. */
	scheduleEvery(ms: number, run: () => void): void {
		this.schedule(ms, () => {
			run();
			this.scheduleEvery(ms, run);
		});
	}

	/** Runs all events up to a time in milliseconds. */
	runUntil(end: number): void {
		for (let event = this.events[0]; event !== undefined && event.at <= end; event = this.events[0]) {
			this.pop();
			this.current = event.at;
			event.run();
		}

		this.current = end;
	}

	private push(event: Event): void {
		let idx = this.events.length;
		this.events.push(event);
		while (idx > 0) {
			const parent = Math.floor((idx - 1) / 2);
			if (before(this.events[parent], event)) {
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
			const child = right < size && before(this.events[right], this.events[left]) ? right : left;
			if (before(last, this.events[child])) {
				break;
			}

			this.events[idx] = this.events[child];
			idx = child;
		}

		this.events[idx] = last;
	}
}

function before(a: Event, b: Event): boolean {
	return a.at === b.at ? a.order < b.order : a.at < b.at;
}
