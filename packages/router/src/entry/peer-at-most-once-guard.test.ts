import {
	InstanceState, BeginResultKind, ManualClock, RequestIdTable, RunState, type InstanceRow, type Tables,
} from '@bluebellyard/core';
import test from 'ava';
import {
	makeInstanceRow, makeMember, makeTables, makeTargetRow,
} from '../mocks/members.js';
import type {RequestRecord} from '../peer/generated/bluebellyard/RequestRecord.js';
import type {Answer} from '../work/index.js';
import {RequestBackups} from './request-backups.js';
import {RequestIdPeer, RequestIdPeers, type FetchedRequests} from './request-id-peers.js';
import {PeerAtMostOnceGuard} from './peer-at-most-once-guard.js';
import {requestWindowMs} from './steward-executor.js';

/** Another instance: answers each call with the next entry of its script, and with the last entry from then on. */
class FakePeer extends RequestIdPeer {
	readonly calls: Array<readonly [instance: string, shards: readonly string[]]> = [];
	isStoring = true;
	/** Ids that it stored. */
	readonly stored: string[] = [];
	/** Id of the incarnation that answers; that of the instance at the address by default. */
	incarnation = '';

	constructor(private readonly script: Array<readonly RequestRecord[] | undefined> = [undefined]) {
		super();
	}

	override async dropRequest(): Promise<void> {
		// Nothing is stored.
	}

	override async keepRequests(_instance: string, records: readonly RequestRecord[]): Promise<boolean> {
		if (this.isStoring) {
			this.stored.push(...records.map(({id}) => id!));
		}

		return this.isStoring;
	}

	override async fetchRequests(instance: string, shards: readonly string[]): Promise<FetchedRequests | undefined> {
		this.calls.push([instance, shards]);
		const index = Math.min(this.calls.length, this.script.length) - 1;
		const records = this.script[index]?.filter(record => shards.includes(record.shard!));
		return records && {instance: this.incarnation, records};
	}
}

class FakePeers extends RequestIdPeers {
	constructor(readonly byAddr: Readonly<Record<string, FakePeer>>) {
		super();
		for (const [addr, peer] of Object.entries(byAddr)) {
			peer.incarnation ||= addr;
		}
	}

	override get(addr: string): FakePeer {
		return this.byAddr[addr] ?? new FakePeer();
	}
}

const tableCfg = {windowMs: requestWindowMs, maxEntries: 100, maxAnswerBytes: 100};
const shards = ['p/0', 'p/1', 'p/2'];

function record(id: string, shard = 'p/0', state = RunState.Unknown): RequestRecord {
	return {
		id, shard, fingerprint: 'f', state, ageMs: 5,
	};
}

function setUp(tables: Tables, peers: Readonly<Record<string, FakePeer>>) {
	const clock = new ManualClock(1000);
	const member = makeMember(tables);
	const ids = new RequestIdTable<Answer>(tableCfg);
	const backups = new RequestBackups(requestWindowMs, () => clock.now());
	const guard = new PeerAtMostOnceGuard({
		member: () => member, peers: new FakePeers(peers), backups, ids: () => ids, clock,
	});
	const begin = (id: string, shard = 'p/0') => ids.begin({id, shard, fingerprint: 'f'}, clock.now()).kind;
	return {
		guard, begin, backups, clock,
	};
}

/** The steward of target `t` and its three shards changed from `old` to `self`; `near` and `far` are other members. */
function makeTablesAfterMove(old: Partial<InstanceRow> = {}, near: Partial<InstanceRow> = {}): Tables {
	const instances = [
		makeInstanceRow('self', 'a', {joined: 1}),
		makeInstanceRow('old', 'b', {joined: 2, ...old}),
		makeInstanceRow('near', 'b', {joined: 3, ...near}),
		makeInstanceRow('far', 'c', {joined: 4}),
	];
	return makeTables(instances, [makeTargetRow('t', 'self', {prevSteward: 'old'})], ['t', 't', 't']);
}

const removed = {state: InstanceState.Removed, eviction: 9};

test('no ids are missing when the former steward never had the shard', async t => {
	const asked = setUp(makeTablesAfterMove(), {});
	t.true(await asked.guard.isComplete('p/0'));
	const old = new FakePeer([[]]);
	const {guard, begin} = setUp(makeTablesAfterMove(), {old});
	await guard.waitForFormerIds('p', 0);
	t.is(begin('r'), BeginResultKind.Fresh);
	t.true(await guard.isComplete('p/0'));
});

test('one call to a busy former steward asks for all shards, and is repeated', async t => {
	const old = new FakePeer([undefined, undefined, [record('ran', 'p/1')]]);
	const {guard, begin} = setUp(makeTablesAfterMove(), {old});
	guard.fetchMissingIds();
	await guard.waitForFormerIds('p', 1);
	guard.fetchMissingIds();
	t.deepEqual(old.calls, [['old', shards], ['old', shards], ['old', shards]]);
	t.is(begin('ran', 'p/1'), BeginResultKind.Unknown);
	t.is(begin('new', 'p/1'), BeginResultKind.Fresh);
	t.is(begin('new-2', 'p/2'), BeginResultKind.Fresh);
});

test('requests whose ids others stored for a removed steward may have run', async t => {
	const near = new FakePeer([[record('stored')]]);
	const {guard, begin, backups, clock} = setUp(makeTablesAfterMove(removed), {near});
	const own = record('stored-here');
	backups.add('old', {
		id: own.id!, shard: own.shard!, fingerprint: 'f', state: own.state!, ageMs: 0, attempt: 'a',
	});
	await guard.waitForFormerIds('p', 0);
	t.is(begin('stored'), BeginResultKind.Unknown);
	t.is(begin('stored-here'), BeginResultKind.Unknown);
	t.is(begin('new'), BeginResultKind.Fresh);
	clock.advance(requestWindowMs);
	t.is(begin('stored'), BeginResultKind.Fresh);
});

test('an instance outside the failure domain of a removed steward need not answer', async t => {
	const near = new FakePeer([[]]);
	const {guard, begin} = setUp(makeTablesAfterMove(removed), {near, far: new FakePeer([undefined])});
	await guard.waitForFormerIds('p', 0);
	t.is(begin('new'), BeginResultKind.Fresh);
});

const lossCases: ReadonlyArray<readonly [name: string, tables: Tables, peers: Readonly<Record<string, FakePeer>>]> = [
	['an instance with backups was removed without handing them over', makeTablesAfterMove(removed, {state: InstanceState.Removed}), {far: new FakePeer([[]])}],
	['the instance with the backups is removed too', makeTablesAfterMove(removed, removed), {far: new FakePeer([[]])}],
	['the instance with the backups does not answer', makeTablesAfterMove(removed), {near: new FakePeer(), far: new FakePeer([[]])}],
	['the former steward does not answer', makeTablesAfterMove(), {old: new FakePeer()}],
	['the former steward does not know all ids', makeTablesAfterMove(), {old: new FakePeer([undefined]), near: new FakePeer([[]])}],
];

for (const [name, tables, peers] of lossCases) {
	test(`unknown ids count as possibly run when ${name}`, async t => {
		const {guard, begin, clock} = setUp(tables, peers);
		await guard.waitForFormerIds('p', 0);
		t.is(begin('any'), BeginResultKind.Unknown);
		t.false(await guard.isComplete('p/0'));
		clock.advance(requestWindowMs);
		t.is(begin('any'), BeginResultKind.Fresh);
		t.true(await guard.isComplete('p/0'));
	});
}

test('instances removed more than the retention time ago need not answer', async t => {
	const tables = makeTablesAfterMove(removed, removed);
	const {guard, begin, clock} = setUp(tables, {});
	tables.targets.get('t')!.steward = 'near';
	guard.fetchMissingIds();
	clock.advance(requestWindowMs);
	tables.targets.get('t')!.steward = 'self';
	await guard.waitForFormerIds('p', 0);
	t.is(begin('any'), BeginResultKind.Fresh);
});

const request = {
	id: 'r', shard: 'p/0', fingerprint: 'f', attempt: 'a',
};

test('a backup goes to an instance of the own domain, and to another one only when there is none', async t => {
	const inside = makeTables([makeInstanceRow('self', 'a'), makeInstanceRow('near', 'a'), makeInstanceRow('far', 'c')], [], []);
	const near = new FakePeer();
	near.isStoring = false;
	const one = setUp(inside, {near, far: new FakePeer()});
	t.false(await one.guard.backUp(request));
	near.isStoring = true;
	t.true(await one.guard.backUp(request));
	const outside = setUp(makeTables([makeInstanceRow('self', 'a'), makeInstanceRow('far', 'c')], [], []), {far: new FakePeer()});
	t.true(await outside.guard.backUp(request));
	const alone = setUp(makeTables([makeInstanceRow('self', 'a')], [], []), {});
	t.true(await alone.guard.backUp(request));
});

test('a backup is removed for its own attempt only', t => {
	const backups = new RequestBackups(1000, () => 0);
	backups.add('i', {...request, state: 'unknown', ageMs: 0});
	backups.remove('i', 'r', 'earlier');
	t.is(backups.findByShard('i', 'p/0').length, 1);
	backups.remove('i', 'r', 'a');
	t.is(backups.findByShard('i', 'p/0').length, 0);
});

test('stored backups are handed over before leaving, but not to the instance that they belong to', async t => {
	const tables = makeTables([makeInstanceRow('self', 'a'), makeInstanceRow('old', 'a'), makeInstanceRow('far', 'c')], [], []);
	const far = new FakePeer();
	const {guard, backups} = setUp(tables, {old: new FakePeer(), far});
	backups.add('old', {...request, state: 'unknown', ageMs: 0});
	far.isStoring = false;
	t.false(await guard.handOverBackups());
	far.isStoring = true;
	t.true(await guard.handOverBackups());
	t.false(backups.add('old', {...request, state: 'unknown', ageMs: 0}));
});

test('no ids are missing when the removed instance handed its backups over', async t => {
	const backup = {state: InstanceState.Removed, idsHandedOver: true};
	const {guard, begin} = setUp(makeTablesAfterMove(removed, backup), {far: new FakePeer([[]])});
	await guard.waitForFormerIds('p', 0);
	t.is(begin('any'), BeginResultKind.Fresh);
});

// A replaced instance, its successor and the one other member of its domain: when that successor is killed, both copies of its ids are gone.
test('the ids of an instance that left are known by a member of another domain', async t => {
	const tables = makeTablesAfterMove({state: InstanceState.Removed, idsHandedOver: true, idsHolder: 'far'}, removed);
	const {guard, begin} = setUp(tables, {far: new FakePeer([[record('stored')]])});
	await guard.waitForFormerIds('p', 0);
	t.is(begin('stored'), BeginResultKind.Unknown);
	t.is(begin('new'), BeginResultKind.Fresh);
	const silent = setUp(tables, {far: new FakePeer()});
	await silent.guard.waitForFormerIds('p', 0);
	t.is(silent.begin('new'), BeginResultKind.Unknown);
	const restarted = setUp(tables, {far: makeRestartedPeer()});
	await restarted.guard.waitForFormerIds('p', 0);
	t.is(restarted.begin('new'), BeginResultKind.Unknown);
});

// The holder of the ids of an instance that left was itself replaced, and the one other member of the instance's domain killed.
test('the ids of an instance that left are found where their holder has handed them on', async t => {
	const left = {state: InstanceState.Removed, idsHandedOver: true};
	const tables = makeTablesAfterMove({...left, idsHolder: 'far'}, removed);
	Object.assign(tables.instances.get('far')!, {...left, copiesHolder: 'next'});
	tables.instances.set('next', makeInstanceRow('next', 'c', {joined: 5}));
	const {guard, begin} = setUp(tables, {next: new FakePeer([[record('stored')]])});
	await guard.waitForFormerIds('p', 0);
	t.is(begin('stored'), BeginResultKind.Unknown);
	t.is(begin('new'), BeginResultKind.Fresh);
	const evicted = setUp(tables, {next: new FakePeer([[record('stored')]])});
	tables.instances.get('far')!.copiesHolder = '';
	await evicted.guard.waitForFormerIds('p', 0);
	t.is(evicted.begin('new'), BeginResultKind.Unknown);
});

test('an instance that leaves names the member that took all copies', async t => {
	const tables = makeTables([makeInstanceRow('self', 'a'), makeInstanceRow('near', 'a'), makeInstanceRow('old', 'b'), makeInstanceRow('older', 'b')], [], []);
	const near = new FakePeer();
	const {guard, backups} = setUp(tables, {near});
	for (const instance of ['old', 'older']) {
		backups.add(instance, {
			...request, id: `of-${instance}`, state: 'unknown', ageMs: 0,
		});
	}

	t.true(await guard.handOverBackups());
	t.is(guard.copiesHolder, 'near');
	t.deepEqual(near.stored, ['of-old', 'of-older']);
});

test('an instance that leaves gives its ids and those of later requests to a member of another domain', async t => {
	const tables = makeTables([makeInstanceRow('self', 'a'), makeInstanceRow('near', 'a'), makeInstanceRow('far', 'c')], [], []);
	const near = new FakePeer();
	const far = new FakePeer();
	const {guard, begin} = setUp(tables, {near, far});
	begin('earlier');
	t.is(await guard.handOverOwnIds(), 'far');
	t.true(await guard.backUp(request));
	t.deepEqual(far.stored, ['earlier', 'r']);
	t.deepEqual(near.stored, []);
	far.isStoring = false;
	t.true(await guard.backUp({...request, id: 'later'}));
	t.deepEqual(near.stored, ['later']);
});

test('an instance that leaves names no member that did not store its ids', async t => {
	const rows = [makeInstanceRow('self', 'a'), makeInstanceRow('near', 'a')];
	t.is(await setUp(makeTables(rows, [], []), {near: new FakePeer()}).guard.handOverOwnIds(), '');
	const far = new FakePeer();
	far.isStoring = false;
	t.is(await setUp(makeTables([...rows, makeInstanceRow('far', 'c')], [], []), {near: new FakePeer(), far}).guard.handOverOwnIds(), '');
});

/** Returns a peer whose process was started again: another incarnation answers, and knows no ids. */
function makeRestartedPeer(): FakePeer {
	const peer = new FakePeer([[]]);
	peer.incarnation = 'restarted';
	return peer;
}

// The empty answer of a process that was started again at the address counted as the ids of the one before it.
test('a restarted former steward does not vouch for the ids of the process before it', async t => {
	const lost = setUp(makeTablesAfterMove(removed), {old: makeRestartedPeer(), near: new FakePeer()});
	await lost.guard.waitForFormerIds('p', 0);
	t.is(lost.begin('any'), BeginResultKind.Unknown);
	const stored = setUp(makeTablesAfterMove(removed), {old: makeRestartedPeer(), near: new FakePeer([[record('stored')]])});
	await stored.guard.waitForFormerIds('p', 0);
	t.is(stored.begin('stored'), BeginResultKind.Unknown);
	t.is(stored.begin('new'), BeginResultKind.Fresh);
});

test('a restarted instance does not vouch for the backups of the process before it', async t => {
	const {guard, begin} = setUp(makeTablesAfterMove(removed), {near: makeRestartedPeer()});
	await guard.waitForFormerIds('p', 0);
	t.is(begin('any'), BeginResultKind.Unknown);
});

// The start of an eviction counted as the end of the instance, which may act for the whole isolation bound after it.
test('the window of the ids starts at the end of an eviction', async t => {
	const tables = makeTablesAfterMove({state: InstanceState.Evicting, eviction: 9});
	const {guard, begin, clock} = setUp(tables, {near: new FakePeer()});
	tables.targets.get('t')!.steward = 'near';
	guard.fetchMissingIds();
	clock.advance(requestWindowMs);
	tables.instances.get('old')!.state = InstanceState.Removed;
	tables.targets.get('t')!.steward = 'self';
	await guard.waitForFormerIds('p', 0);
	t.is(begin('any'), BeginResultKind.Unknown);
});

test('an instance that is being evicted may store backups until the end of its eviction', async t => {
	const tables = makeTablesAfterMove({}, {state: InstanceState.Evicting, eviction: 9});
	const {guard, begin, clock} = setUp(tables, {far: new FakePeer([[]])});
	tables.targets.get('t')!.steward = 'near';
	guard.fetchMissingIds();
	clock.advance(requestWindowMs);
	tables.instances.get('old')!.state = InstanceState.Removed;
	tables.targets.get('t')!.steward = 'self';
	await guard.waitForFormerIds('p', 0);
	t.is(begin('any'), BeginResultKind.Unknown);
});
