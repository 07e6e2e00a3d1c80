import {
	TargetState, type AdmitRecord, type RetireRecord, type TargetStateRecord, type TenureRecord,
} from '../records/index.js';
import {isRemoved, isMember} from './fold-instances.js';
import type {TargetRow, Tables} from './tables.js';
import {
	accepted, rejected, RejectReason, type Verdict,
} from './verdict.js';

/** Folds targets that become known, or move to another address while they own nothing. */
export function foldAdmit(tables: Tables, record: AdmitRecord): Verdict {
	if (!isMember(tables, record.by)) {
		return rejected(RejectReason.WriterNotMember);
	}

	for (const target of record.targets) {
		const row = tables.targets.get(target.name);
		if (row !== undefined && (row.addr === target.addr || ownsShards(tables, target.name))) {
			return rejected(RejectReason.TargetKnown);
		}
	}

	for (const target of record.targets) {
		const row = tables.targets.get(target.name);
		if (row === undefined) {
			tables.targets.set(target.name, {
				...target, state: TargetState.Live, steward: '', tenure: 0, prevSteward: '',
			});
		} else {
			row.addr = target.addr;
		}
	}

	return accepted;
}

/** Folds the removal of a target that owns nothing. */
export function foldRetire(tables: Tables, record: RetireRecord): Verdict {
	const row = tables.targets.get(record.target);
	if (row === undefined) {
		return rejected(RejectReason.UnknownTarget);
	}

	if (!isCurrentSteward(row, record.by, record.tenure)) {
		return rejected(RejectReason.StaleTenure);
	}

	if (ownsShards(tables, row.name)) {
		return rejected(RejectReason.TargetOwnsShards);
	}

	tables.targets.delete(row.name);
	return accepted;
}

/** Folds new stewards. A steward gives its own targets away; others only those of a gone one. */
export function foldTenure(tables: Tables, offset: number, record: TenureRecord): Verdict {
	if (!isMember(tables, record.by)) {
		return rejected(RejectReason.WriterNotMember);
	}

	for (const change of record.changes) {
		const row = tables.targets.get(change.target);
		if (row === undefined) {
			return rejected(RejectReason.UnknownTarget, change.target);
		}

		if (row.tenure !== change.prev) {
			return rejected(RejectReason.StaleTenure, change.target);
		}

		if (row.steward !== '' && row.steward !== record.by && !isRemoved(tables, row.steward)) {
			return rejected(RejectReason.StewardInCharge, change.target);
		}

		if (!isMember(tables, change.steward)) {
			return rejected(RejectReason.UnknownInstance, change.steward);
		}
	}

	for (const change of record.changes) {
		const row = tables.targets.get(change.target)!;
		row.prevSteward = row.steward;
		row.steward = change.steward;
		row.tenure = offset;
	}

	return accepted;
}

/** Folds the steward's word on whether its target serves. */
export function foldTargetState(tables: Tables, record: TargetStateRecord): Verdict {
	const row = tables.targets.get(record.target);
	if (row === undefined) {
		return rejected(RejectReason.UnknownTarget);
	}

	if (!isCurrentSteward(row, record.by, record.tenure)) {
		return rejected(RejectReason.StaleTenure);
	}

	if (record.state === TargetState.Lost && ownsShards(tables, row.name)) {
		return rejected(RejectReason.TargetOwnsShards);
	}

	row.state = record.state;
	return accepted;
}

/** Whether the instance is the steward of the target under this tenure. */
export function isCurrentSteward(row: TargetRow, instance: string, tenure: number): boolean {
	return row.steward === instance && row.tenure === tenure;
}

function ownsShards(tables: Tables, target: string): boolean {
	for (const pool of tables.pools.values()) {
		if (pool.shards.some(shard => shard.owner === target)) {
			return true;
		}
	}

	return false;
}
