import {PauseReason, type ReadPause} from './read-pause.js';

/** Number of requests sent ahead after which no other connection is read in the same turn of the event loop. */
const maxPerTurn = 1024;

/**
 * Limits how many requests that were sent ahead of their answers a server reads in one turn of the event loop. The parser
 * goes on to the end of each read, and its requests are kept until the turn ends even if their connection is closed.
 */
export class SentAheadLimit {
	private readInTurn = 0;

	/** `listPauses` returns those of all open connections of the server. */
	constructor(private readonly listPauses: () => Iterable<ReadPause>) {
		// The connections are asked for only over the limit.
	}

	/** Records that a request was read while an earlier one on its connection was unanswered. */
	record(): void {
		this.readInTurn += 1;
		if (this.readInTurn === 1) {
			setImmediate(() => {
				this.readInTurn = 0;
			});
		} else if (this.readInTurn === maxPerTurn) {
			this.pauseUntilNextTurn();
		}
	}

	private pauseUntilNextTurn(): void {
		const pauses = [...this.listPauses()];
		for (const pause of pauses) {
			pause.add(PauseReason.NextTurn);
		}

		setImmediate(() => {
			for (const pause of pauses) {
				pause.remove(PauseReason.NextTurn);
			}
		});
	}
}
