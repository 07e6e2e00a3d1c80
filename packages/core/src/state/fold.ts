import {
	decodeRecord, RecordKind, type LogRecord,
} from '../records/index.js';
import {foldConfig} from './fold-config.js';
import {
	foldEvict, foldEvicted, foldJoin, foldLeave,
} from './fold-instances.js';
import {
	foldIsolate, foldLoads, foldMerge, foldMoves,
} from './fold-shards.js';
import {
	foldAdmit, foldRetire, foldTargetState, foldTenure,
} from './fold-targets.js';
import type {Tables} from './tables.js';
import {rejected, RejectReason, type Verdict} from './verdict.js';

/** Applies one decoded record to the tables. */
export function foldRecord(tables: Tables, offset: number, record: LogRecord): Verdict {
	switch (record.kind) {
		case RecordKind.Join: {
			return foldJoin(tables, offset, record);
		}

		case RecordKind.Leave: {
			return foldLeave(tables, record);
		}

		case RecordKind.Evict: {
			return foldEvict(tables, offset, record);
		}

		case RecordKind.Evicted: {
			return foldEvicted(tables, record);
		}

		case RecordKind.Admit: {
			return foldAdmit(tables, record);
		}

		case RecordKind.Retire: {
			return foldRetire(tables, record);
		}

		case RecordKind.Tenure: {
			return foldTenure(tables, offset, record);
		}

		case RecordKind.Moves: {
			return foldMoves(tables, offset, record);
		}

		case RecordKind.TargetState: {
			return foldTargetState(tables, record);
		}

		case RecordKind.Config: {
			return foldConfig(tables, offset, record);
		}

		case RecordKind.Isolate: {
			return foldIsolate(tables, offset, record);
		}

		case RecordKind.Merge: {
			return foldMerge(tables, offset, record);
		}

		case RecordKind.Loads: {
			return foldLoads(tables, record);
		}
	}
}

/** Verdict on a record, with the record if it could be decoded. */
export type FoldResult = Verdict & {readonly record?: LogRecord};

/** Decodes a record and applies it to the tables; a foreign or malformed record has no effect. */
export function foldData(tables: Tables, offset: number, data: string): FoldResult {
	const record = decodeRecord(data);
	tables.folded = offset;
	if (record === undefined) {
		return rejected(RejectReason.Malformed);
	}

	return {...foldRecord(tables, offset, record), record};
}
