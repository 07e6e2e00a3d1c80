import {PauseReason, type ReadPause} from '@bluebellyard/http-client';

/** Longest time for which the next connection in turn is waited for, in milliseconds. */
const maxTurnMs = 10;

/** Interval at which requests are rejected that became too late while they waited, in milliseconds; each of their senders may connect again at once. */
const rejectionIntervalMs = 250;

/** A connection that sends a body in small chunks. */
export type ChunkSender = {
	readonly pause: ReadPause;
	/** Whether its request can't be answered in time any more. */
	readonly isLate: () => boolean;
	/** Rejects its request. */
	readonly reject: () => void;
};

/**
 * Lets the connections that send bodies in small chunks take turns: each chunk takes as long as a far larger one, and
 * without turns such senders leave no time to others. One alone is read as fast as it sends.
 */
export class ChunkTurns {
	private queue: ChunkSender[] = [];
	/** Senders that have become too late. */
	private late: ChunkSender[] = [];
	private timer: NodeJS.Timeout | undefined;
	private rejectionTimer: NodeJS.Timeout | undefined;
	private isScheduled = false;

	/** Stops reading from a connection until its turn, which comes in the next iteration of the event loop at the earliest. */
	wait(sender: ChunkSender): void {
		if (this.isWaiting(sender)) {
			return;
		}

		sender.pause.add(PauseReason.Turn);
		this.queue.push(sender);
		this.schedule();
	}

	/** Removes a connection whose body is not read any longer. */
	remove(sender: ChunkSender): void {
		if (this.isWaiting(sender)) {
			this.queue = this.queue.filter(other => other !== sender);
			this.late = this.late.filter(other => other !== sender);
		}

		sender.pause.remove(PauseReason.Turn);
	}

	/** Number of connections that wait for their turns. */
	get size(): number {
		return this.queue.length + this.late.length;
	}

	/** Returns whether a connection waits for its turn. */
	isWaiting(sender: ChunkSender): boolean {
		return this.queue.includes(sender) || this.late.includes(sender);
	}

	private schedule(): void {
		if (!this.isScheduled) {
			this.isScheduled = true;
			setImmediate(() => {
				this.isScheduled = false;
				this.startNext();
			});
		}
	}

	private startNext(): void {
		clearTimeout(this.timer);
		const next = this.queue.shift();
		if (next === undefined) {
			return;
		}

		if (!next.isLate()) {
			next.pause.remove(PauseReason.Turn);
		} else if (this.rejectionTimer === undefined) {
			next.reject();
			this.rejectionTimer = setTimeout(() => {
				this.rejectNext();
			}, rejectionIntervalMs);
		} else {
			this.late.push(next);
		}

		if (this.queue.length > 0) {
			// The one whose turn it is may send nothing.
			this.timer = setTimeout(() => {
				this.startNext();
			}, maxTurnMs);
		}
	}

	/** Rejects the oldest request that is too late. */
	private rejectNext(): void {
		const next = this.late.shift();
		this.rejectionTimer = next === undefined
			? undefined
			: setTimeout(() => {
				this.rejectNext();
			}, rejectionIntervalMs);
		next?.reject();
	}
}
