import type {
	EvictedRecord, EvictRecord, JoinRecord, LeaveRecord,
} from '../records/index.js';
import {InstanceState, type InstanceRow, type Tables} from './tables.js';
import {
	accepted, rejected, RejectReason, type Verdict,
} from './verdict.js';

/** Gone rows kept, so that a duplicate of a recent record is recognised. */
const maxGoneRows = 256;

/** Folds the entry of an instance into the roster. */
export function foldJoin(tables: Tables, offset: number, record: JoinRecord): Verdict {
	if (tables.instances.has(record.instance)) {
		return rejected(RejectReason.InstanceKnown);
	}

	tables.instances.set(record.instance, {
		id: record.instance,
		name: record.name,
		domain: record.domain,
		peerAddr: record.peerAddr,
		internalAddr: record.internalAddr,
		controlAddr: record.controlAddr,
		joined: offset,
		state: InstanceState.Member,
		eviction: 0,
		idsHandedOver: false,
	});
	const former = tables.instances.get(record.former ?? '');
	if (former?.name === record.name) {
		former.state = InstanceState.Removed;
	}

	return accepted;
}

/** Folds the word of an instance that it stopped acting. */
export function foldLeave(tables: Tables, record: LeaveRecord): Verdict {
	const row = tables.instances.get(record.instance);
	if (row === undefined || row.state === InstanceState.Removed) {
		return rejected(RejectReason.UnknownInstance);
	}

	if (record.by !== record.instance) {
		return rejected(RejectReason.WriterNotMember);
	}

	row.idsHandedOver = record.idsHandedOver;
	row.state = InstanceState.Removed;
	pruneGone(tables);
	return accepted;
}

/** Folds an eviction: its members have no right from here on. */
export function foldEvict(tables: Tables, offset: number, record: EvictRecord): Verdict {
	if (!isMember(tables, record.by) || record.members.includes(record.by)) {
		return rejected(RejectReason.WriterNotMember);
	}

	const rows = record.members
		.map(id => tables.instances.get(id))
		.filter((row): row is InstanceRow => row !== undefined && row.state !== InstanceState.Removed);
	if (rows.length < record.members.length) {
		return rejected(RejectReason.UnknownInstance);
	}

	for (const row of rows) {
		row.state = InstanceState.Evicting;
		row.eviction = offset;
	}

	tables.evictions.set(offset, {offset, by: record.by, members: record.members});
	dropReplacedEvictions(tables);
	return accepted;
}

/** Folds the end of an eviction: the rights of its members have run out. */
export function foldEvicted(tables: Tables, record: EvictedRecord): Verdict {
	const eviction = tables.evictions.get(record.eviction);
	if (eviction === undefined) {
		return rejected(RejectReason.UnknownEviction);
	}

	if (eviction.by !== record.by || !isMember(tables, record.by)) {
		return rejected(RejectReason.WriterNotMember);
	}

	for (const id of eviction.members) {
		const row = tables.instances.get(id);
		if (row?.eviction === eviction.offset) {
			row.state = InstanceState.Removed;
		}
	}

	tables.evictions.delete(eviction.offset);
	pruneGone(tables);
	return accepted;
}

/** Whether the instance is in the roster and not evicted. */
export function isMember(tables: Tables, id: string): boolean {
	return tables.instances.get(id)?.state === InstanceState.Member;
}

/** Whether the instance can't act any more: it left, or its right ran out for certain. */
export function isRemoved(tables: Tables, id: string): boolean {
	const row = tables.instances.get(id);
	return row === undefined || row.state === InstanceState.Removed;
}

function dropReplacedEvictions(tables: Tables): void {
	for (const eviction of tables.evictions.values()) {
		const isReplaced = eviction.members.every(id => tables.instances.get(id)?.eviction !== eviction.offset);
		if (isReplaced) {
			tables.evictions.delete(eviction.offset);
		}
	}
}

function pruneGone(tables: Tables): void {
	const gone = [...tables.instances.values()].filter(row => row.state === InstanceState.Removed);
	const surplus = gone.length - maxGoneRows;
	for (const row of gone.slice(0, Math.max(0, surplus))) {
		tables.instances.delete(row.id);
	}
}
