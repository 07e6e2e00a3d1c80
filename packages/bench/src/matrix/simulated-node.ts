import type {EventQueue} from './event-queue.js';
import type {Rng} from './rng.js';

/** A machine that one process life runs on: it can be paused or lost, and has a clock of its own. */
export class SimulatedNode {
	/** Whether the process still exists. */
	isAlive = true;
	private paused = false;
	private deferred: Array<() => void> = [];
	private clockBase: number;
	private rateSince: number;
	private clockRate = 1;

	constructor(
		readonly name: string,
		readonly domain: string,
		private readonly queue: EventQueue,
		private readonly rng: Rng,
	) {
		this.clockBase = rng.between(0, 1_000_000);
		this.rateSince = queue.now;
	}

	/** Whether the process does nothing at the moment. */
	get isPaused(): boolean {
		return this.paused;
	}

	/** Whether the process runs. */
	get isRunning(): boolean {
		return this.isAlive && !this.paused;
	}

	/** Reading of the own monotonic clock, in milliseconds. */
	now(): number {
		return this.clockBase + ((this.queue.now - this.rateSince) * this.clockRate);
	}

	/** Sets how fast the own clock runs against true time. */
	setClockRate(rate: number): void {
		this.clockBase = this.now();
		this.rateSince = this.queue.now;
		this.clockRate = rate;
	}

	/** Runs `run` now, after the pause, or never. */
	run(run: () => void): void {
		if (this.paused) {
			this.deferred.push(run);
		} else if (this.isAlive) {
			run();
		}
	}

	/** Runs `run` on this site after `ms` of its own time. */
	schedule(ms: number, run: () => void): void {
		this.queue.schedule(ms / this.clockRate, () => {
			this.run(run);
		});
	}

	/** Stops the process until `resume`. */
	pause(): void {
		this.paused = true;
	}

	/** Goes on; what waited runs in any order. */
	resume(): void {
		if (!this.paused) {
			return;
		}

		this.paused = false;
		const deferred = this.rng.shuffle(this.deferred);
		this.deferred = [];
		for (const run of deferred) {
			this.run(run);
		}
	}

	/** Ends the process for good. */
	kill(): void {
		this.isAlive = false;
		this.paused = false;
		this.deferred = [];
	}
}
