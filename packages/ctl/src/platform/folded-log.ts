/**
 * Reads the log and folds its records into tables, as the instances do.
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

/** Outcome of folding a configuration record. */
export type FoldedRecord = {
	readonly offset: number;
	readonly verdict: Verdict;
	/** Configuration in force immediately before the record. */
	readonly previousConfig: ConfigRow;
};

/** Converts an error of the log into a `CtlError`; returns other errors unchanged. */
export function toCtlError(err: unknown): unknown {
	if (err instanceof LogUnavailable || err instanceof LogTruncated || err instanceof NoSnapshot) {
		return new CtlError(ExitCode.Unreachable, 'failed to load the state from the log service', err);
	}

	return err;
}

/** Tables that are folded from the log page by page. */
export class FoldedLog {
	/** Loads the state up to the end of the log; throws `CtlError` when the log can't be read. */
	static async load(log: LogService): Promise<FoldedLog> {
		try {
			const {state, offset} = await loadSnapshot({log, fold: new ClusterFold(), limit: pageRecords});
			const folded = new FoldedLog(log, state, offset + 1);
			let isAtEnd = false;
			while (!isAtEnd) {
				// Each page starts where the previous one ended.
				// eslint-disable-next-line no-await-in-loop
				isAtEnd = await folded.foldNextPage(0);
			}

			return folded;
		} catch (err) {
			throw toCtlError(err);
		}
	}

	private readonly foldedConfigs = new Map<string, FoldedRecord>();

	private constructor(
		private readonly log: LogService,
		readonly tables: Tables,
		/** Offset of the next record to fold. */
		private nextOffset: number,
	) {
		// Instances are created by `load`.
	}

	/** Returns the outcome of the first configuration record with this id; undefined until it was read. */
	findOutcome(id: string): FoldedRecord | undefined {
		return this.foldedConfigs.get(id);
	}

	/** Returns the verdict that a record would get if it were the next one; changes nothing. */
	tryRecord(record: LogRecord): Verdict {
		return foldRecord(decodeTables(encodeTables(this.tables)), this.nextOffset, record);
	}

	/** Folds one page, waiting up to `waitMs` milliseconds for records. Returns whether the end of the log was reached. */
	async foldNextPage(waitMs: number): Promise<boolean> {
		const page = await this.log.read(this.nextOffset, pageRecords, waitMs);
		for (const {offset, data} of page.records) {
			this.fold(offset, data);
			this.nextOffset = offset + 1;
		}

		return page.records.length === 0 || this.nextOffset >= page.next;
	}

	private fold(offset: number, data: string): void {
		const previousConfig = this.tables.config;
		const {record, ...verdict} = foldData(this.tables, offset, data);
		if (record?.kind === RecordKind.Config && !this.foldedConfigs.has(record.id)) {
			this.foldedConfigs.set(record.id, {offset, verdict, previousConfig});
		}
	}
}
