import type {
	EvictedRecord, EvictRecord, JoinRecord, LeaveRecord,
} from '../records/index.js';
import {InstanceState, type InstanceRow, type Tables} from './tables.js';
import {
	accepted, rejected, RejectReason, type Verdict,
} from './verdict.js';

/** Number of rows of removed instances that are kept, so that duplicates of recent records are recognized. */
const maxRemovedRows = 256;

/** Adds an instance to the members. */
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
		idsHolder: '',
		copiesHolder: '',
	});
	const former = tables.instances.get(record.former ?? '');
	if (former?.name === record.name) {
		former.state = InstanceState.Removed;
	}

	return accepted;
}

/** Removes an instance that reports that it has stopped acting. */
export function foldLeave(tables: Tables, record: LeaveRecord): Verdict {
	const row = tables.instances.get(record.instance);
	if (row === undefined || row.state === InstanceState.Removed) {
		return rejected(RejectReason.UnknownInstance);
	}

	if (record.by !== record.instance) {
		return rejected(RejectReason.WriterNotMember);
	}

	row.idsHandedOver = record.idsHandedOver;
	row.idsHolder = record.idsHolder;
	row.copiesHolder = record.copiesHolder;
	row.state = InstanceState.Removed;
	pruneRemoved(tables);
	return accepted;
}

/** Starts an eviction: its members are no longer entitled to act, and rights that are still running expire. */
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
	dropSupersededEvictions(tables);
	return accepted;
}

/** Completes an eviction: the rights of the evicted instances have expired. */
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
	pruneRemoved(tables);
	return accepted;
}

/** Returns whether the instance is a member that is not evicted. */
export function isMember(tables: Tables, id: string): boolean {
	return tables.instances.get(id)?.state === InstanceState.Member;
}

/** Returns whether the instance can no longer act: it has left, or its right has certainly expired. */
export function isRemoved(tables: Tables, id: string): boolean {
	const row = tables.instances.get(id);
	return row === undefined || row.state === InstanceState.Removed;
}

function dropSupersededEvictions(tables: Tables): void {
	for (const eviction of tables.evictions.values()) {
		const isSuperseded = eviction.members.every(id => tables.instances.get(id)?.eviction !== eviction.offset);
		if (isSuperseded) {
			tables.evictions.delete(eviction.offset);
		}
	}
}

function pruneRemoved(tables: Tables): void {
	const removed = [...tables.instances.values()].filter(row => row.state === InstanceState.Removed);
	const surplus = removed.length - maxRemovedRows;
	for (const row of removed.slice(0, Math.max(0, surplus))) {
		tables.instances.delete(row.id);
	}
}
