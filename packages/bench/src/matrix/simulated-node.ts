import type {EventQueue} from './event-queue.js';
import type {Rng} from './rng.js';

/** A simulated machine that runs one process. It can be paused or killed, and has its own clock. */
export class SimulatedNode {
	/** Whether the process was not killed. */
	isAlive = true;
	private isSuspended = false;
	private deferred: Array<() => void> = [];
	private clockBaseMs: number;
	private rateSetAt: number;
	private clockRate = 1;

	constructor(
		readonly name: string,
		readonly domain: string,
		private readonly queue: EventQueue,
		private readonly rng: Rng,
	) {
		this.clockBaseMs = rng.between(0, 1_000_000);
		this.rateSetAt = queue.now;
	}

	/** Whether the process is paused. */
	get isPaused(): boolean {
		return this.isSuspended;
	}

	/** Whether the process is neither killed nor paused. */
	get isRunning(): boolean {
		return this.isAlive && !this.isSuspended;
	}

	/** Returns the time of the node's monotonic clock, in milliseconds. */
	now(): number {
		return this.clockBaseMs + ((this.queue.now - this.rateSetAt) * this.clockRate);
	}

	/** Sets the rate of the node's clock relative to simulation time. */
	setClockRate(rate: number): void {
		this.clockBaseMs = this.now();
		this.rateSetAt = this.queue.now;
		this.clockRate = rate;
	}

	/** Runs `run` now, defers it while the process is paused, or drops it if the process was killed. */
	run(run: () => void): void {
		if (this.isSuspended) {
			this.deferred.push(run);
		} else if (this.isAlive) {
			run();
		}
	}

	/** Schedules `run` on this node after `ms` of its own clock. */
	schedule(ms: number, run: () => void): void {
		this.queue.schedule(ms / this.clockRate, () => {
			this.run(run);
		});
	}

	/** Pauses the process until `resume`. */
	pause(): void {
		this.isSuspended = true;
	}

	/** Resumes the process. Deferred functions run in random order. */
	resume(): void {
		if (!this.isSuspended) {
			return;
		}

		this.isSuspended = false;
		const deferred = this.rng.shuffle(this.deferred);
		this.deferred = [];
		for (const run of deferred) {
			this.run(run);
		}
	}

	/** Kills the process and drops its deferred functions. */
	kill(): void {
		this.isAlive = false;
		this.isSuspended = false;
		this.deferred = [];
	}
}
