/**
 * The folded state of the log, read as the instances read it.
 */
import {
	loadSnapshot, LogTruncated, LogUnavailable, NoSnapshot, type LogService,
} from '@bluebellyard/coordination';
import {
	type ConfigRow, decodeTables, encodeTables, foldData, foldRecord, type LogRecord, RecordKind, type Tables, type Verdict,
} from '@bluebellyard/core';
import {ClusterFold} from '@bluebellyard/router';
import {CtlError} from '../ctl-error.js';
import {ExitCode} from '../report.js';

const pageRecords = 1000;

/** How a record was folded. */
export type FoldedRecord = {
	readonly offset: number;
	readonly verdict: Verdict;
	/** Configuration in force just before the record. */
	readonly previousConfig: ConfigRow;
};

/** Turns a failure of the log into one that ends the command. */
export function toCtlError(err: unknown): unknown {
	if (err instanceof LogUnavailable || err instanceof LogTruncated || err instanceof NoSnapshot) {
		return new CtlError(ExitCode.Unreachable, 'the log service gives no state', err);
	}

	return err;
}

/** Tables that follow the log. */
export class FoldedLog {
	/** Loads the newest state; throws `CtlError` when the log can't be reached. */
	static async load(log: LogService): Promise<FoldedLog> {
		try {
			const {state, offset} = await loadSnapshot({log, fold: new ClusterFold(), limit: pageRecords});
			const folded = new FoldedLog(log, state, offset + 1);
			let isAtEnd = false;
			while (!isAtEnd) {
				// Each step folds the page after the one before.
				// eslint-disable-next-line no-await-in-loop
				isAtEnd = await folded.foldNextPage(0);
			}

			return folded;
		} catch (err) {
			throw toCtlError(err);
		}
	}

	private readonly seen = new Map<string, FoldedRecord>();

	private constructor(
		private readonly log: LogService,
		readonly tables: Tables,
		/** Offset of the next record to fold. */
		private next: number,
	) {
		// Made by load.
	}

	/** How the first configuration record with this id was folded; undefined before it was read. */
	findOutcome(id: string): FoldedRecord | undefined {
		return this.seen.get(id);
	}

	/** Verdict that a record would get now. */
	tryRecord(record: LogRecord): Verdict {
		return foldRecord(decodeTables(encodeTables(this.tables)), this.next, record);
	}

	/** Folds one page; waits up to `waitMs` milliseconds for it. Gives whether the end was reached. */
	async foldNextPage(waitMs: number): Promise<boolean> {
		const page = await this.log.read(this.next, pageRecords, waitMs);
		for (const {offset, data} of page.records) {
			this.fold(offset, data);
			this.next = offset + 1;
		}

		return page.records.length === 0 || this.next >= page.next;
	}

	private fold(offset: number, data: string): void {
		const before = this.tables.config;
		const {record, ...verdict} = foldData(this.tables, offset, data);
		if (record?.kind === RecordKind.Config && !this.seen.has(record.id)) {
			this.seen.set(record.id, {offset, verdict, previousConfig: before});
		}
	}
}
