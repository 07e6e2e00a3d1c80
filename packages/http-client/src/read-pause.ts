import type {Socket} from 'node:net';

/** Why nothing is read from a connection. */
export enum PauseReason {
	/** Requests that were sent ahead wait for the answers to those before them. */
	SentAhead = 'sent-ahead',
	/** Other connections send bodies in small chunks, too, and take turns. */
	Turn = 'turn',
	/** Too many requests that were sent ahead were read on all connections since the event loop last ran other work. */
	NextTurn = 'next-turn',
}

/**
 * Stops reading from a connection of an HTTP server while there is a reason. Pausing the socket is not enough: the server
 * resumes it whenever the body of any of its requests is read.
 */
export class ReadPause {
	private readonly reasons = new Set<PauseReason>();
	private isGuarded = false;

	constructor(private readonly socket: Socket) {
		// Listeners are added when they are needed; most connections are never paused.
	}

	/** Whether nothing is read. */
	get isPaused(): boolean {
		return this.reasons.size > 0;
	}

	/** Returns whether nothing is read for that reason. */
	has(reason: PauseReason): boolean {
		return this.reasons.has(reason);
	}

	/** Reads nothing until the reason is removed. */
	add(reason: PauseReason): void {
		this.reasons.add(reason);
		if (!this.isGuarded) {
			this.isGuarded = true;
			this.socket.on('resume', () => {
				if (this.isPaused) {
					this.socket.pause();
				}
			});
		}

		this.socket.pause();
	}

	/** Reads again unless there are other reasons. */
	remove(reason: PauseReason): void {
		if (this.reasons.delete(reason) && !this.isPaused && !this.socket.destroyed) {
			this.socket.resume();
		}
	}
}
