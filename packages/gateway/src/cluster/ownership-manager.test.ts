import test from 'ava';
import {
	allKeys, keyCount, OwnershipMap, leaseExpiry, ManualClock, type KeyRates, type EligibleOwner,
} from '@bluebellyard/core';
import {
	FakeTargetControl, MemoryLog, ControlFault, AppendFault,
} from '../mocks/index.js';
import {Telemetry} from '../telemetry/index.js';
import {OwnershipManager} from './ownership-manager.js';
import {OwnerLog} from './owner-log.js';

const timing = {leaseMs: 6000, transitMs: 500};
/** Span in which each grant is renewed once. */
const renewalMs = timing.leaseMs / 2;
const owners: EligibleOwner[] = [{id: 'a', capacity: 4}, {id: 'b', capacity: 4}];

type Options = {
	readonly map?: OwnershipMap;
	readonly isTakenOver?: boolean;
	readonly inheritedEnd?: number;
};

class Bench {
	readonly clock = new ManualClock(100_000);
	readonly control = new FakeTargetControl(this.clock);
	readonly store = new MemoryLog();
	readonly log = new OwnerLog(this.store);
	readonly ended = new Set<string>();
	readonly keeper: OwnershipManager;
	owners: readonly EligibleOwner[] = owners;
	rates: KeyRates = [];
	mayMove = true;
	inheritedEnd: number;

	constructor({map = OwnershipMap.empty(), isTakenOver = false, inheritedEnd = Number.NEGATIVE_INFINITY}: Options = {}) {
		this.inheritedEnd = inheritedEnd;
		this.keeper = new OwnershipManager({
			service: 's',
			control: this.control,
			clock: this.clock,
			timing,
			telemetry: new Telemetry(this.clock),
			write: async change => this.log.write('s', change),
			onChange() {
				// The test ticks by itself.
			},
			onUncertainWrite: () => {
				void this.log.read().then(state => {
					this.keeper.reload(state.maps.get('s') ?? OwnershipMap.empty());
				});
			},
			findTarget: owner => ({addr: owner, name: owner}),
			hasEnded: owner => this.ended.has(owner),
			inheritedLeaseEnd: () => this.inheritedEnd,
		}, map, isTakenOver);
	}

	/** Ticks every 100 ms; nobody may hold what another one holds at any time. */
	async run(ms: number, check: (bench: Bench) => void = () => undefined): Promise<void> {
		for (let passed = 0; passed < ms; passed += 100) {
			this.keeper.tick({owners: this.owners, rates: () => this.rates, mayMove: this.mayMove});
			// Orders and writes end within the tick.
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			check(this);
			this.clock.advance(100);
		}
	}

	openOwner(key: number): string {
		for (const [name, range] of this.keeper.ranges()) {
			const from = Number(name.split('/')[2]);
			if (key >= from && key <= range.to) {
				return range.isOpen ? range.owner : '';
			}
		}

		return '';
	}
}

const keys = [0, 5, 1000, 32_767, 32_768, 40_000, 65_535];

/** Counts keys with more than one holder. */
function expectOneHolder(t: {true: (value: boolean, message?: string) => unknown}): (bench: Bench) => void {
	return bench => {
		for (const key of keys) {
			t.true(bench.control.ownersOfKey(key).length <= 1, `key ${key}: ${bench.control.ownersOfKey(key).join(' ')}`);
		}
	};
}

test('all keys are granted once the targets of a start are known', async t => {
	const bench = new Bench();
	await bench.run(1500, expectOneHolder(t));
	for (const key of keys) {
		t.is(bench.control.ownersOfKey(key).length, 1);
		t.is(bench.openOwner(key), bench.control.ownersOfKey(key)[0]);
	}
});

test('load: many ranges that can not be joined are granted no more often than they lapse', async t => {
	const owners = ['a', 'b', 'c', 'd'].map(id => ({id, capacity: 4}));
	const size = 1024;
	const holdings = Array.from({length: keyCount / size}, (_, i) => ({
		from: i * size, to: ((i + 1) * size) - 1, owner: owners[i % 4].id, fence: 1, formers: [],
	}));
	const bench = new Bench({map: new OwnershipMap(holdings), isTakenOver: true});
	bench.owners = owners;
	await bench.run(1000);
	bench.control.requests.length = 0;
	for (let turn = 0; turn < 16; turn += 1) {
		// Each turn a busy key appears on one target and is moved away.
		bench.rates = [[(turn * size) + 5, 2], [(turn * size) + 6, 2]];
		// eslint-disable-next-line no-await-in-loop
		await bench.run(750);
	}

	const grants = bench.control.requests.filter(order => order.startsWith('grant')).length;
	const renewals = (holdings.length + 16) * 12_000 / renewalMs;
	t.true(grants < renewals * 1.5, `${grants} grants, ${renewals} renewals are needed`);
});

test('grants are renewed before they lapse', async t => {
	const bench = new Bench();
	await bench.run(1500);
	await bench.run(20_000, ({control}) => {
		t.is(control.ownersOfKey(5).length, 1);
	});
});

test('a target that leaves hands its keys over', async t => {
	const bench = new Bench();
	await bench.run(1500);
	bench.owners = [owners[1]];
	await bench.run(1000, expectOneHolder(t));
	t.deepEqual(bench.control.ownersOfKey(5), ['b']);
	t.true(bench.control.requests.some(order => order.startsWith('grant b') && order.endsWith('state of a')));
});

test('keys of a target that does not answer wait for the lapse of its last grant', async t => {
	const bench = new Bench();
	await bench.run(1500);
	const [first] = bench.control.ownersOfKey(5);
	bench.control.faults.set(first, ControlFault.Lost);
	bench.owners = owners.filter(({id}) => id !== first);
	const lapse = leaseExpiry(bench.clock.now(), timing);
	await bench.run(lapse - bench.clock.now() - 200, expectOneHolder(t));
	t.is(bench.openOwner(5), '');
	await bench.run(1000, expectOneHolder(t));
	t.is(bench.openOwner(5), bench.owners[0].id);
});

test('a release that was carried out but not answered does not count', async t => {
	const bench = new Bench();
	await bench.run(1500);
	const [first] = bench.control.ownersOfKey(5);
	bench.control.faults.set(first, ControlFault.AnswerLost);
	bench.owners = owners.filter(({id}) => id !== first);
	await bench.run(3000, expectOneHolder(t));
	t.is(bench.openOwner(5), '');
});

test('a grant without an answer may come late: a release does not cut its lease short', async t => {
	const bench = new Bench();
	await bench.run(1500);
	const [first] = bench.control.ownersOfKey(5);
	bench.control.faults.set(first, ControlFault.AnswerLost);
	await bench.run(renewalMs);
	bench.control.faults.clear();
	bench.owners = owners.filter(({id}) => id !== first);
	await bench.run(1500);
	t.is(bench.openOwner(5), '');
	await bench.run(8000);
	t.is(bench.openOwner(5), bench.owners[0].id);
});

test('a grant without an answer may come late, also when the keys move on once more', async t => {
	const bench = new Bench();
	bench.owners = ['a', 'b', 'c'].map(id => ({id, capacity: 4}));
	await bench.run(1500);
	const [first] = bench.control.ownersOfKey(5);
	bench.control.faults.set(first, ControlFault.AnswerLost);
	await bench.run(renewalMs);
	bench.control.faults.clear();
	bench.owners = bench.owners.filter(({id}) => id !== first);
	await bench.run(300);
	const [second] = [...bench.keeper.ranges().values()].map(({owner}) => owner);
	bench.owners = bench.owners.filter(({id}) => id !== second);
	await bench.run(1500);
	t.is(bench.openOwner(5), '');
	await bench.run(8000);
	t.is(bench.openOwner(5), bench.owners[0].id);
});

test('a target whose process ended loses its keys at once', async t => {
	const bench = new Bench();
	await bench.run(1500);
	const [first] = bench.control.ownersOfKey(5);
	bench.control.faults.set(first, ControlFault.Lost);
	bench.ended.add(first);
	bench.owners = owners.filter(({id}) => id !== first);
	await bench.run(500);
	t.is(bench.openOwner(5), bench.owners[0].id);
});

test('while nothing may move, grants go on', async t => {
	const bench = new Bench();
	await bench.run(1500);
	const [first] = bench.control.ownersOfKey(5);
	bench.mayMove = false;
	bench.owners = owners.filter(({id}) => id !== first);
	await bench.run(10_000);
	t.deepEqual(bench.control.ownersOfKey(5), [first]);
});

test('keys that come from several owners stay served once they are', async t => {
	const bench = new Bench();
	bench.owners = [...owners, {id: 'c', capacity: 4}];
	await bench.run(1500);
	bench.owners = [{id: 'c', capacity: 4}];
	const opened = new Set<number>();
	await bench.run(600, () => {
		for (const key of keys) {
			const isOpen = bench.openOwner(key) === 'c';
			t.true(isOpen || !opened.has(key));
			if (isOpen) {
				opened.add(key);
			}
		}
	});
	t.is(opened.size, keys.length);
});

test('a grant that was under way when owners changed may come late too', async t => {
	const bench = new Bench();
	await bench.run(1500);
	const [first] = bench.control.ownersOfKey(5);
	bench.control.delayedTargets.add(first);
	await bench.run(renewalMs);
	bench.control.delayedTargets.clear();
	// A part of the range moves while the renewal of the whole has no answer yet.
	bench.rates = Array.from({length: 100}, (_, i) => [i, 0.05] as const);
	await bench.run(1000);
	bench.control.failDelayed();
	await bench.run(200);
	bench.owners = owners.filter(({id}) => id !== first);
	await bench.run(1500);
	t.is(bench.openOwner(20_000), '');
});

test('a lost answer of the store is resolved by reading', async t => {
	const bench = new Bench();
	bench.store.faults.push(AppendFault.AnswerLost);
	await bench.run(2500, expectOneHolder(t));
	t.is(bench.control.ownersOfKey(5).length, 1);
});

test('a refused write changes nothing and is tried again', async t => {
	const bench = new Bench();
	bench.store.faults.push(AppendFault.Refused);
	await bench.run(2500, expectOneHolder(t));
	t.is(bench.control.ownersOfKey(5).length, 1);
});

test('a new leader adopts owners under a higher token', async t => {
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 3);
	const bench = new Bench({map, isTakenOver: true, inheritedEnd: 120_000});
	for (let i = 0; i < 5; i += 1) {
		// The topic goes on where the former leader left it.
		// eslint-disable-next-line no-await-in-loop
		await bench.store.append('keyed.bluebellyard-owners', 'keys/s', '[[0,65535,"a",3,[]]]');
	}

	await bench.log.isUnchanged();
	t.is(bench.openOwner(5), 'a');
	bench.owners = [owners[0]];
	bench.keeper.refenceAll();
	await bench.run(500);
	t.deepEqual(bench.control.ownersOfKey(5), ['a']);
	t.true(bench.control.requests.every(order => Number(order.split(' ')[3]) > 3));
});

test('a new leader grants nothing before the store has the higher tokens', async t => {
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 0);
	const bench = new Bench({map, isTakenOver: true});
	bench.owners = [owners[0]];
	await bench.store.append('keyed.bluebellyard-owners', 'keys/s', '[[0,65535,"a",0,[]]]');
	bench.store.faults.push(AppendFault.Refused);
	bench.keeper.refenceAll();
	await bench.run(1000);
	t.deepEqual(bench.control.ownersOfKey(5), ['a']);
	t.true(bench.control.requests.every(order => order.split(' ')[3] !== '0'));
});

test('what a former leader moved waits until its grants have lapsed', async t => {
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1).assign([{...allKeys, owner: 'b'}], 2);
	const bench = new Bench({map, isTakenOver: true, inheritedEnd: 103_000});
	bench.owners = [owners[1]];
	await bench.run(2500);
	t.deepEqual(bench.control.ownersOfKey(5), []);
	t.is(bench.openOwner(5), '');
	await bench.run(1500);
	t.deepEqual(bench.control.ownersOfKey(5), ['b']);
});

test('what a former leader moved is free sooner when that leader turns out to have ended', async t => {
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1).assign([{...allKeys, owner: 'b'}], 2);
	const bench = new Bench({map, isTakenOver: true, inheritedEnd: 120_000});
	bench.owners = [owners[1]];
	await bench.run(500);
	bench.inheritedEnd = 102_000;
	await bench.run(3000);
	t.is(bench.openOwner(5), 'b');
});

test('load: hot neighbours are moved apart while they are served', async t => {
	const bench = new Bench();
	await bench.run(1500);
	bench.rates = Array.from({length: 100}, (_, i) => [i, 0.05] as const);
	await bench.run(3000, expectOneHolder(t));
	t.is(new Set(bench.rates.map(([key]) => bench.openOwner(key))).size, 2);
});

test('a key that its owner does not hold is granted again', async t => {
	const bench = new Bench();
	await bench.run(1500);
	const [first] = bench.control.ownersOfKey(5);
	await bench.control.release({addr: first, name: first}, {...allKeys, fence: 0});
	t.deepEqual(bench.control.ownersOfKey(5), []);
	bench.keeper.handleNotOwner(first, 5);
	await bench.run(200);
	t.deepEqual(bench.control.ownersOfKey(5), [first]);
});
