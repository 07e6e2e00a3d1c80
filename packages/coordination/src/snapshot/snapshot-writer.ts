import type {Clock} from '../clock/index.js';
import {ControlKind, encodeControl, type SnapshotChunk} from '../control/index.js';
import type {LogService} from '../log-service/index.js';
import {computeDigest} from './digest.js';
import {SnapshotReader, type Snapshot} from './snapshot-reader.js';

/** Settings of the writer of snapshots. */
export type SnapshotWriterOptions = {
	/** A snapshot is due after this many records. */
	readonly everyRecords: number;
	/** Time in milliseconds for which the log keeps records. */
	readonly retentionMs: number;
	/** Characters of the state in one chunk. */
	readonly chunkChars: number;
	/** Extra age in milliseconds before one is due; differs between instances so that one writes first. */
	readonly delayMs: number;
};

/** A snapshot is written again at this share of the retention, whether or not records came. */
const retentionShare = 1 / 4;

/** Decides when a snapshot is due, and writes it. */
export class SnapshotWriter {
	private lastOf = 0;
	private lastAt: number;
	private isWriting = false;
	private readonly seen = new SnapshotReader();
	private readonly options: SnapshotWriterOptions;

	constructor(private readonly log: LogService, private readonly clock: Clock, options: SnapshotWriterOptions) {
		this.options = options;
		// The age of what the log holds is unknown at the start, so it counts as old.
		this.lastAt = clock.now() - (options.retentionMs * retentionShare);
	}

	/** Takes note of a chunk read from the log, whoever wrote it. */
	observe(chunk: SnapshotChunk): void {
		const complete = this.seen.add(chunk);
		if (complete && complete.of >= this.lastOf) {
			this.lastOf = complete.of;
			this.lastAt = this.clock.now();
		}
	}

	/** Whether a snapshot of a state that includes offset `of` should be written now. */
	isDue(of: number): boolean {
		if (this.isWriting || of === 0) {
			return false;
		}

		const ageMs = this.clock.now() - this.lastAt;
		const isOld = ageMs >= (this.options.retentionMs * retentionShare) + this.options.delayMs;
		return isOld || (of - this.lastOf >= this.options.everyRecords && ageMs >= this.options.delayMs);
	}

	/**
	 * Appends all chunks, one append each. The snapshot counts only when its
	 * chunks were read back. Throws `LogUnavailable`; the rest is then left out,
	 * and readers pass over the torn one.
	 */
	async write(snapshot: Snapshot): Promise<void> {
		this.isWriting = true;
		try {
			for (const chunk of chunksOf(snapshot, this.options.chunkChars)) {
				// One after the other keeps each append small.
				// eslint-disable-next-line no-await-in-loop
				await this.log.append([encodeControl(chunk)]);
			}
		} finally {
			this.isWriting = false;
		}
	}
}

/** Splits a snapshot into chunks of `chunkChars` characters. */
export function chunksOf(snapshot: Snapshot, chunkChars: number): SnapshotChunk[] {
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
