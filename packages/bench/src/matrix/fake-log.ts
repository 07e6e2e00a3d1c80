import {
	ControlKind, encodeControl, parseControl, SnapshotReader,
} from '@bluebellyard/coordination';
import {CallRefused} from './network.js';

/** One record of the log. */
export type StoredRecord = {
	readonly offset: number;
	readonly data: string;
};

/** Answer to a read. */
export type StoredPage = {
	/** Oldest offset kept. */
	readonly firstOffset: number;
	/** Offset of the next record. */
	readonly nextOffset: number;
	/** Empty when the wanted offset is no longer kept. */
	readonly records: readonly StoredRecord[];
};

/** The log service: records in memory, kept until `truncate`. */
export class FakeLog {
	isDown = false;
	private first = 1;
	private records: StoredRecord[] = [];

	/** Offset of the next record. */
	get nextOffset(): number {
		return this.first + this.records.length;
	}

	append(data: string): number {
		this.checkUp();
		return this.put(data);
	}

	read(from: number, limit: number): StoredPage {
		this.checkUp();
		const start = from - this.first;
		const records = start < 0 ? [] : this.records.slice(start, start + limit);
		return {firstOffset: this.first, nextOffset: this.nextOffset, records};
	}

	/** Drops the records before `first`. */
	truncate(first: number): void {
		this.records = this.records.slice(Math.max(0, first - this.first));
		this.first = Math.max(this.first, first);
	}

	/** Offset of the last record in the newest complete snapshot; 0 for none. */
	findNewestSnapshotOffset(): number {
		const reader = new SnapshotReader();
		for (const {data} of this.records) {
			const control = parseControl(data);
			if (control?.kind === ControlKind.Snapshot) {
				reader.add(control);
			}
		}

		return reader.candidates(this.first).at(0)?.of ?? 0;
	}

	/** Puts records that no fold understands. */
	appendForeignRecords(): void {
		this.put('not json');
		this.put('{"v":99,"kind":"join"}');
		this.put(encodeControl({kind: ControlKind.Marker, id: 'foreign'}));
	}

	private put(data: string): number {
		const offset = this.nextOffset;
		this.records.push({offset, data});
		return offset;
	}

	private checkUp(): void {
		if (this.isDown) {
			throw new CallRefused('The log is down.');
		}
	}
}
