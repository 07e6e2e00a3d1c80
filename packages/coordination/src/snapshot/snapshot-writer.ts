import type {Clock} from '../clock/index.js';
import {ControlKind, encodeControl, type SnapshotChunk} from '../control/index.js';
import type {LogService} from '../log-service/index.js';
import {computeDigest} from './digest.js';
import {SnapshotReader, type Snapshot} from './snapshot-reader.js';

/** Settings of `SnapshotWriter`. */
export type SnapshotWriterOptions = {
	/** Number of records after which a snapshot is due. */
	readonly everyRecords: number;
	/** Time in milliseconds for which the log retains records. */
	readonly retentionMs: number;
	/** Maximum number of characters of the state in one chunk. */
	readonly chunkChars: number;
	/** Extra age in milliseconds before a snapshot is due. Differs between instances so that one of them writes first. */
	readonly delayMs: number;
};

/** Share of the retention after which a snapshot is written again, even without new records. */
const retentionShare = 1 / 4;

/** Decides when a snapshot is due and writes it. */
export class SnapshotWriter {
	private lastOffset = 0;
	private lastAt: number;
	private isWriting = false;
	private readonly reader = new SnapshotReader();
	private readonly options: SnapshotWriterOptions;

	constructor(private readonly log: LogService, private readonly clock: Clock, options: SnapshotWriterOptions) {
		this.options = options;
		// The age of the snapshots in the log is unknown at the start, so they count as old.
		this.lastAt = clock.now() - (options.retentionMs * retentionShare);
	}

	/** Records a chunk read from the log, written by any instance. */
	observe(chunk: SnapshotChunk): void {
		const complete = this.reader.add(chunk);
		if (complete && complete.of >= this.lastOffset) {
			this.lastOffset = complete.of;
			this.lastAt = this.clock.now();
		}
	}

	/** Returns whether a snapshot of a state that includes offset `of` should be written now. */
	isDue(of: number): boolean {
		if (this.isWriting || of === 0) {
			return false;
		}

		const ageMs = this.clock.now() - this.lastAt;
		const isOld = ageMs >= (this.options.retentionMs * retentionShare) + this.options.delayMs;
		return isOld || (of - this.lastOffset >= this.options.everyRecords && ageMs >= this.options.delayMs);
	}

	/**
	 * Appends all chunks, one append each. The snapshot counts as written only
	 * once its chunks are read back. Throws `LogUnavailable`; the remaining chunks
	 * are then not written, and readers ignore the incomplete snapshot.
	 */
	async write(snapshot: Snapshot): Promise<void> {
		this.isWriting = true;
		try {
			for (const chunk of splitIntoChunks(snapshot, this.options.chunkChars)) {
				// Sequential appends of one chunk each keep the appends small.
				// eslint-disable-next-line no-await-in-loop
				await this.log.append([encodeControl(chunk)]);
			}
		} finally {
			this.isWriting = false;
		}
	}
}

/** Splits a snapshot into chunks of at most `chunkChars` characters; an empty one into one empty chunk. */
export function splitIntoChunks(snapshot: Snapshot, chunkChars: number): SnapshotChunk[] {
	const {of, text} = snapshot;
	const parts = Math.max(1, Math.ceil(text.length / chunkChars));
	const digest = computeDigest(text);
	return Array.from({length: parts}, (_, part) => ({
		kind: ControlKind.Snapshot,
		of,
		part,
		parts,
		data: text.slice(part * chunkChars, (part + 1) * chunkChars),
		digest,
	}));
}
