import {
	ControlKind, encodeControl, decodeControl, SnapshotReader,
} from '@bluebellyard/coordination';
import {CallRefused} from './network.js';

/** One record of the log. */
export type StoredRecord = {
	readonly offset: number;
	readonly data: string;
};

/** Result of a read. */
export type StoredPage = {
	/** Offset of the oldest retained record. */
	readonly firstOffset: number;
	/** Offset that the next appended record gets. */
	readonly nextOffset: number;
	/** Empty if the requested offset is no longer retained. */
	readonly records: readonly StoredRecord[];
};

/** In-memory log service. Records are retained until `truncate` removes them. */
export class FakeLog {
	isDown = false;
	private firstOffset = 1;
	private records: StoredRecord[] = [];

	/** Offset that the next appended record gets. */
	get nextOffset(): number {
		return this.firstOffset + this.records.length;
	}

	append(data: string): number {
		this.assertAvailable();
		return this.store(data);
	}

	read(from: number, limit: number): StoredPage {
		this.assertAvailable();
		const start = from - this.firstOffset;
		const records = start < 0 ? [] : this.records.slice(start, start + limit);
		return {firstOffset: this.firstOffset, nextOffset: this.nextOffset, records};
	}

	/** Removes the records before `first`. */
	truncate(first: number): void {
		this.records = this.records.slice(Math.max(0, first - this.firstOffset));
		this.firstOffset = Math.max(this.firstOffset, first);
	}

	/** Returns the offset up to which the newest complete snapshot covers the log; 0 if there is none. */
	findNewestSnapshotOffset(): number {
		const reader = new SnapshotReader();
		for (const {data} of this.records) {
			const control = decodeControl(data);
			if (control?.kind === ControlKind.Snapshot) {
				reader.add(control);
			}
		}

		return reader.candidates(this.firstOffset).at(0)?.of ?? 0;
	}

	/** Appends records that a fold has to skip: malformed JSON, an unknown version and a foreign marker. */
	appendForeignRecords(): void {
		this.store('not json');
		this.store('{"v":99,"kind":"join"}');
		this.store(encodeControl({kind: ControlKind.Marker, id: 'foreign'}));
	}

	private store(data: string): number {
		const offset = this.nextOffset;
		this.records.push({offset, data});
		return offset;
	}

	private assertAvailable(): void {
		if (this.isDown) {
			throw new CallRefused('The log is down.');
		}
	}
}
