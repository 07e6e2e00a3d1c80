import {ControlKind, decodeControl} from '../control/index.js';
import type {Fold} from '../fold/index.js';
import {type LogService, LogTruncated} from '../log-service/index.js';
import {SnapshotReader, type Snapshot} from '../snapshot/index.js';

/** A state and the offset of the last record folded into it. */
export type FoldedState<State> = {
	readonly state: State;
	readonly offset: number;
};

/** The start of the log was truncated, and the log holds no complete snapshot followed by all later records. */
export class NoSnapshot extends Error {
	override readonly name = 'NoSnapshot';
}

/** Arguments of `loadSnapshot`. */
export type SnapshotSource<State> = {
	readonly log: LogService;
	readonly fold: Fold<State>;
	/** Maximum number of records per read. */
	readonly limit: number;
	readonly signal?: AbortSignal;
};

/**
 * Returns the state of the newest usable snapshot, or the initial state if the
 * log has no usable snapshot but still holds all records. Throws
 * `LogUnavailable`, `LogTruncated` if records are truncated during the load, or
 * `NoSnapshot`.
 */
export async function loadSnapshot<State>(source: SnapshotSource<State>): Promise<FoldedState<State>> {
	const first = await readFirstOffset(source);
	const reader = await readChunks(source, first);
	for (const snapshot of reader.candidates(first)) {
		const state = tryDecode(source.fold, snapshot);
		if (state !== undefined) {
			return {state, offset: snapshot.of};
		}
	}

	if (first > 1) {
		throw new NoSnapshot(`The log starts at offset ${first} and holds no usable snapshot.`);
	}

	return {state: source.fold.initial(), offset: 0};
}

async function readFirstOffset<State>(source: SnapshotSource<State>): Promise<number> {
	try {
		const page = await source.log.read(1, 1, 0, source.signal);
		return page.first;
	} catch (err) {
		if (err instanceof LogTruncated) {
			return err.first;
		}

		throw err;
	}
}

async function readChunks<State>(source: SnapshotSource<State>, first: number): Promise<SnapshotReader> {
	const reader = new SnapshotReader();
	let from = first;
	for (;;) {
		// Each read starts where the previous one ended.
		// eslint-disable-next-line no-await-in-loop
		const page = await source.log.read(from, source.limit, 0, source.signal);
		for (const record of page.records) {
			const control = decodeControl(record.data);
			if (control?.kind === ControlKind.Snapshot && control.of < record.offset) {
				reader.add(control);
			}
		}

		from += page.records.length;
		if (page.records.length === 0 || from >= page.next) {
			return reader;
		}
	}
}

function tryDecode<State>(fold: Fold<State>, snapshot: Snapshot): State | undefined {
	try {
		return fold.decode(snapshot.text);
	} catch {
		return undefined;
	}
}
