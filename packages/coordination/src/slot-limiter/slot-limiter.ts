/** Thrown when the queue of a limiter is full. The caller got no slot. */
export class SlotQueueFull extends Error {
	override readonly name = 'SlotQueueFull';
}

/** Settings of a limiter. */
export type SlotLimiterOptions = {
	/** Number of slots that may be in use at the same time. */
	readonly slots: number;
	/** Maximum number of waiting callers. */
	readonly queue: number;
};

/** Releases the slot. Repeated calls have no effect. */
export type ReleaseSlot = () => void;

type Waiter = (release: ReleaseSlot) => void;

/** Limits the work in flight. Callers beyond the limit wait in a bounded FIFO queue. */
export class SlotLimiter {
	private slots: number;
	private readonly queue: number;
	private slotsInUse = 0;
	private readonly waiters = new Set<Waiter>();

	constructor(options: SlotLimiterOptions) {
		this.slots = options.slots;
		this.queue = options.queue;
	}

	/** Number of slots in use. */
	get inFlight(): number {
		return this.slotsInUse;
	}

	/** Number of waiting callers. */
	get waiting(): number {
		return this.waiters.size;
	}

	/** Changes the limit. Slots in use above a lower limit are not revoked; they count until they are released. */
	setSlots(slots: number): void {
		this.slots = slots;
		this.serveWaiters();
	}

	/** Returns a slot if one is free and no caller is waiting. */
	tryAcquire(): ReleaseSlot | undefined {
		return this.slotsInUse < this.slots && this.waiters.size === 0 ? this.occupySlot() : undefined;
	}

	/** Waits for a slot. Rejects with `SlotQueueFull`, or with the abort reason of `signal`. */
	async acquire(signal?: AbortSignal): Promise<ReleaseSlot> {
		signal?.throwIfAborted();
		const release = this.tryAcquire();
		if (release) {
			return release;
		}

		if (this.waiters.size >= this.queue) {
			throw new SlotQueueFull('The queue is full.');
		}

		return this.wait(signal);
	}

	private async wait(signal?: AbortSignal): Promise<ReleaseSlot> {
		return new Promise((resolve, reject) => {
			const handleAbort = () => {
				this.waiters.delete(waiter);
				const reason: unknown = signal?.reason;
				reject(reason instanceof Error ? reason : new Error('The wait was aborted.'));
			};

			const waiter: Waiter = release => {
				signal?.removeEventListener('abort', handleAbort);
				resolve(release);
			};

			this.waiters.add(waiter);
			signal?.addEventListener('abort', handleAbort, {once: true});
		});
	}

	private occupySlot(): ReleaseSlot {
		let isHeld = true;
		this.slotsInUse++;
		return () => {
			if (isHeld) {
				isHeld = false;
				this.slotsInUse--;
				this.serveWaiters();
			}
		};
	}

	private serveWaiters(): void {
		for (const waiter of this.waiters) {
			if (this.slotsInUse >= this.slots) {
				return;
			}

			this.waiters.delete(waiter);
			waiter(this.occupySlot());
		}
	}
}
