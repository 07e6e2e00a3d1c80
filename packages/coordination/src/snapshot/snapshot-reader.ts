import type {SnapshotChunk} from '../control/index.js';
import {computeDigest} from './digest.js';

/** A complete snapshot with a correct digest. */
export type Snapshot = {
	/** Offset of the last record folded into the state. */
	readonly of: number;
	readonly text: string;
};

type Partial = {
	readonly of: number;
	readonly parts: number;
	readonly digest: string;
	readonly chunks: Map<number, string>;
};

/** Puts the chunks of snapshots together. */
export class SnapshotReader {
	private readonly partials = new Map<string, Partial>();
	private readonly complete = new Map<number, Snapshot>();

	/** Adds one chunk; gives the snapshot that it completes. */
	add(chunk: SnapshotChunk): Snapshot | undefined {
		if (this.complete.has(chunk.of)) {
			return undefined;
		}

		const key = `${chunk.of}/${chunk.parts}/${chunk.digest}`;
		const partial = this.partials.get(key) ?? {
			of: chunk.of, parts: chunk.parts, digest: chunk.digest, chunks: new Map<number, string>(),
		};
		this.partials.set(key, partial);
		partial.chunks.set(chunk.part, chunk.data);
		const snapshot = assemble(partial);
		if (snapshot) {
			this.complete.set(snapshot.of, snapshot);
			this.forget(key, snapshot.of);
		}

		return snapshot;
	}

	/** Complete snapshots, the newest first, whose following records are kept from `first` on. */
	candidates(first: number): Snapshot[] {
		return [...this.complete.values()]
			.filter(snapshot => snapshot.of + 1 >= first)
			.toSorted((a, b) => b.of - a.of);
	}

	/** Drops what a newer complete snapshot makes useless; one older complete one stays in reserve. */
	private forget(key: string, of: number): void {
		this.partials.delete(key);
		for (const [other, partial] of this.partials) {
			if (partial.of < of) {
				this.partials.delete(other);
			}
		}

		const offsets = [...this.complete.keys()].toSorted((a, b) => b - a);
		for (const old of offsets.slice(2)) {
			this.complete.delete(old);
		}
	}
}

function assemble(partial: Partial): Snapshot | undefined {
	const chunks: string[] = [];
	for (let part = 0; part < partial.parts; part++) {
		const data = partial.chunks.get(part);
		if (data === undefined) {
			return undefined;
		}

		chunks.push(data);
	}

	const text = chunks.join('');
	return computeDigest(text) === partial.digest ? {of: partial.of, text} : undefined;
}
