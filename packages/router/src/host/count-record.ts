import {RecordKind, type FoldResult} from '@bluebellyard/core';
import {Counter, type Counters} from '../metrics/index.js';

/**
 * Counts the outcome of a folded record. Moves, lost targets and evictions are
 * counted only by the instance that recorded them (`self` is the id of this
 * one), so that a sum over all instances counts each of them once.
 */
export function countRecord(counters: Counters, {accepted, record}: FoldResult, self: string): void {
	if (!accepted) {
		counters.count(record === undefined ? Counter.BadRecords : Counter.VoidRecords);
		return;
	}

	if (record?.kind === RecordKind.Config) {
		counters.count(Counter.Configurations);
	}

	if (record?.by !== self) {
		return;
	}

	if (record.kind === RecordKind.Evict) {
		counters.count(Counter.Evictions, record.members.length);
	}

	if (record.kind === RecordKind.Moves) {
		counters.count(Counter.Moves, record.moves.length);
		counters.count(Counter.LostTargets, record.lost === undefined ? 0 : 1);
	}
}
