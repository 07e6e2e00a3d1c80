import {
	InstanceState, BeginResultKind, ManualClock, RequestIdTable, RunState, type InstanceRow, type Tables,
} from '@bluebellyard/core';
import test from 'ava';
import {
	instanceRow, makeMember, makeTables, targetRow,
} from '../mocks/members.js';
import type {RequestRecord} from '../peer/generated/bluebellyard/RequestRecord.js';
import type {Answer} from '../work/index.js';
import {RequestBackups} from './request-backups.js';
import {RequestIdPeer, RequestIdPeers} from './request-id-peers.js';
import {PeerAtMostOnceGuard} from './peer-at-most-once-guard.js';
import {requestWindowMs} from './steward-queue.js';

/** Another instance: answers in turn by its script, then for ever by the last line. */
class FakePeer extends RequestIdPeer {
	readonly calls: Array<readonly [instance: string, shards: readonly string[]]> = [];
	isKeeping = true;

	constructor(private readonly script: Array<readonly RequestRecord[] | undefined> = [undefined]) {
		super();
	}

	override async dropRequest(): Promise<void> {
		// Nothing is kept.
	}

	override async keepRequests(): Promise<boolean> {
		return this.isKeeping;
	}

	override async fetchRequests(instance: string, shards: readonly string[]): Promise<readonly RequestRecord[] | undefined> {
		this.calls.push([instance, shards]);
		const turn = Math.min(this.calls.length, this.script.length) - 1;
		return this.script[turn]?.filter(record => shards.includes(record.shard!));
	}
}

class FakePeers extends RequestIdPeers {
	constructor(readonly byAddr: Readonly<Record<string, FakePeer>>) {
		super();
	}

	override get(addr: string): FakePeer {
		return this.byAddr[addr] ?? new FakePeer();
	}
}

const window = {windowMs: requestWindowMs, maxEntries: 100, maxAnswerBytes: 100};
const shards = ['p/0', 'p/1', 'p/2'];

function record(id: string, shard = 'p/0', state = RunState.Unknown): RequestRecord {
	return {
		id, shard, fingerprint: 'f', state, ageMs: 5,
	};
}

function setUp(tables: Tables, peers: Readonly<Record<string, FakePeer>>) {
	const clock = new ManualClock(1000);
	const member = makeMember(tables);
	const ids = new RequestIdTable<Answer>(window);
	const kept = new RequestBackups(requestWindowMs, () => clock.now());
	const guard = new PeerAtMostOnceGuard({
		member: () => member, peers: new FakePeers(peers), backups: kept, ids: () => ids, clock,
	});
	const begin = (id: string, shard = 'p/0') => ids.begin({id, shard, fingerprint: 'f'}, clock.now()).kind;
	return {
		guard, begin, kept, clock,
	};
}

/** Target `t` with its three shards came from the steward `old` to `self`; `keep` and `far` are members. */
function tablesAfter(old: Partial<InstanceRow> = {}, keep: Partial<InstanceRow> = {}): Tables {
	const instances = [
		instanceRow('self', 'a', {joined: 1}),
		instanceRow('old', 'b', {joined: 2, ...old}),
		instanceRow('keep', 'b', {joined: 3, ...keep}),
		instanceRow('far', 'c', {joined: 4}),
	];
	return makeTables(instances, [targetRow('t', 'self', {prevSteward: 'old'})], ['t', 't', 't']);
}

const gone = {state: InstanceState.Removed, eviction: 9};

test('a former steward that never had the shard has no ids to tell', async t => {
	const asked = setUp(tablesAfter(), {});
	t.true(await asked.guard.isComplete('p/0'));
	const old = new FakePeer([[]]);
	const {guard, begin} = setUp(tablesAfter(), {old});
	await guard.waitForFormerIds('p', 0);
	t.is(begin('r'), BeginResultKind.Fresh);
	t.true(await guard.isComplete('p/0'));
});

test('one call to a busy former steward carries all shards, and is tried again', async t => {
	const old = new FakePeer([undefined, undefined, [record('ran', 'p/1')]]);
	const {guard, begin} = setUp(tablesAfter(), {old});
	guard.fetchMissingIds();
	await guard.waitForFormerIds('p', 1);
	guard.fetchMissingIds();
	t.deepEqual(old.calls, [['old', shards], ['old', shards], ['old', shards]]);
	t.is(begin('ran', 'p/1'), BeginResultKind.Unknown);
	t.is(begin('new', 'p/1'), BeginResultKind.Fresh);
	t.is(begin('new-2', 'p/2'), BeginResultKind.Fresh);
});

test('ids that others kept for a steward that is gone may have run', async t => {
	const keep = new FakePeer([[record('kept')]]);
	const {guard, begin, kept, clock} = setUp(tablesAfter(gone), {keep});
	const own = record('kept-here');
	kept.add('old', {
		id: own.id!, shard: own.shard!, fingerprint: 'f', state: own.state!, ageMs: 0, attempt: 'a',
	});
	await guard.waitForFormerIds('p', 0);
	t.is(begin('kept'), BeginResultKind.Unknown);
	t.is(begin('kept-here'), BeginResultKind.Unknown);
	t.is(begin('new'), BeginResultKind.Fresh);
	clock.advance(requestWindowMs);
	t.is(begin('kept'), BeginResultKind.Fresh);
});

test('an instance outside the domain of a steward that is gone need not answer', async t => {
	const keep = new FakePeer([[]]);
	const {guard, begin} = setUp(tablesAfter(gone), {keep, far: new FakePeer([undefined])});
	await guard.waitForFormerIds('p', 0);
	t.is(begin('new'), BeginResultKind.Fresh);
});

const losses: ReadonlyArray<readonly [name: string, tables: Tables, peers: Readonly<Record<string, FakePeer>>]> = [
	['a keeper left with its ids', tablesAfter(gone, {state: InstanceState.Removed}), {far: new FakePeer([[]])}],
	['the keeper is lost too', tablesAfter(gone, gone), {far: new FakePeer([[]])}],
	['the keeper does not answer', tablesAfter(gone), {keep: new FakePeer(), far: new FakePeer([[]])}],
	['the former steward does not answer', tablesAfter(), {old: new FakePeer()}],
	['the former steward itself misses ids', tablesAfter(), {old: new FakePeer([undefined]), keep: new FakePeer([[]])}],
];

for (const [name, tables, peers] of losses) {
	test(`unknown ids may have run when ${name}`, async t => {
		const {guard, begin, clock} = setUp(tables, peers);
		await guard.waitForFormerIds('p', 0);
		t.is(begin('any'), BeginResultKind.Unknown);
		t.false(await guard.isComplete('p/0'));
		clock.advance(requestWindowMs);
		t.is(begin('any'), BeginResultKind.Fresh);
		t.true(await guard.isComplete('p/0'));
	});
}

test('instances that went away a window ago have nothing to tell', async t => {
	const tables = tablesAfter(gone, gone);
	const {guard, begin, clock} = setUp(tables, {});
	tables.targets.get('t')!.steward = 'keep';
	guard.fetchMissingIds();
	clock.advance(requestWindowMs);
	tables.targets.get('t')!.steward = 'self';
	await guard.waitForFormerIds('p', 0);
	t.is(begin('any'), BeginResultKind.Fresh);
});

const request = {
	id: 'r', shard: 'p/0', fingerprint: 'f', attempt: 'a',
};

test('an id is kept by an instance of the own domain, and by another one only when there is none', async t => {
	const inside = makeTables([instanceRow('self', 'a'), instanceRow('near', 'a'), instanceRow('far', 'c')], [], []);
	const near = new FakePeer();
	near.isKeeping = false;
	const one = setUp(inside, {near, far: new FakePeer()});
	t.false(await one.guard.backUp(request));
	near.isKeeping = true;
	t.true(await one.guard.backUp(request));
	const outside = setUp(makeTables([instanceRow('self', 'a'), instanceRow('far', 'c')], [], []), {far: new FakePeer()});
	t.true(await outside.guard.backUp(request));
	const alone = setUp(makeTables([instanceRow('self', 'a')], [], []), {});
	t.true(await alone.guard.backUp(request));
});

test('a kept id is dropped for its own attempt only', t => {
	const kept = new RequestBackups(1000, () => 0);
	kept.add('i', {...request, state: 'unknown', ageMs: 0});
	kept.remove('i', 'r', 'earlier');
	t.is(kept.findByShard('i', 'p/0').length, 1);
	kept.remove('i', 'r', 'a');
	t.is(kept.findByShard('i', 'p/0').length, 0);
});

test('what is kept is handed over before leaving, to another than its owner', async t => {
	const tables = makeTables([instanceRow('self', 'a'), instanceRow('old', 'a'), instanceRow('far', 'c')], [], []);
	const far = new FakePeer();
	const {guard, kept} = setUp(tables, {old: new FakePeer(), far});
	kept.add('old', {...request, state: 'unknown', ageMs: 0});
	far.isKeeping = false;
	t.false(await guard.handOverBackups());
	far.isKeeping = true;
	t.true(await guard.handOverBackups());
	t.false(kept.add('old', {...request, state: 'unknown', ageMs: 0}));
});

test('a keeper that handed its ids over is not missed', async t => {
	const keeper = {state: InstanceState.Removed, idsHandedOver: true};
	const {guard, begin} = setUp(tablesAfter(gone, keeper), {far: new FakePeer([[]])});
	await guard.waitForFormerIds('p', 0);
	t.is(begin('any'), BeginResultKind.Fresh);
});
