import test from 'ava';
import {
	encodeRecord, makeRecord, RecordKind, type RecordBody,
} from '../records/index.js';
import {
	EffectKind, type HeartbeatEffect, type Effect, type GrantEffect,
} from './effect.js';
import type {Identity} from './context.js';
import {Member} from './member.js';
import {defaultTiming} from './timing.js';

function identityOf(id: string): Identity {
	return {
		id, name: id, domain: id.slice(0, 1), peerAddr: id, internalAddr: id, controlAddr: id,
	};
}

/** Members that fold the same records and hear each other at once, but for those that are silent. */
class Roster {
	readonly members = new Map<string, Member>();
	readonly silent = new Set<string>();
	readonly seen: Effect[] = [];
	now = 0;
	private numbers = 0;
	private readonly log: string[] = [];

	constructor(readonly ids: readonly string[]) {
		for (const id of ids) {
			const member = new Member({self: identityOf(id), timing: defaultTiming, random: () => this.random()});
			this.members.set(id, member);
		}

		for (const id of ids) {
			this.put({kind: RecordKind.Join, instance: id, ...identityOf(id)}, id);
		}
	}

	/** Appends a record that all fold. */
	put(body: RecordBody, by: string): boolean {
		this.log.push(encodeRecord(makeRecord(body, `record-${this.log.length}`, by)));
		const results = [...this.members.values()].map(member => {
			const result = member.fold(this.log.length, this.log.at(-1)!);
			member.handleLogTail(this.now, this.log.length + 1);
			return result.accepted;
		});
		return results.every(Boolean);
	}

	/** Lets time pass in ticks. */
	run(ms: number): void {
		const end = this.now + ms;
		while (this.now < end) {
			this.now += 20;
			for (const member of this.members.values()) {
				this.tick(member);
			}
		}
	}

	private random(): number {
		this.numbers += 1;
		return (this.numbers * 0.618) % 1;
	}

	private tick(member: Member): void {
		if (this.silent.has(member.id)) {
			return;
		}

		for (const effect of member.tick(this.now)) {
			this.seen.push(effect);
			if (effect.kind === EffectKind.Heartbeat) {
				this.beat(member, effect);
			}
		}
	}

	private beat(member: Member, effect: HeartbeatEffect): void {
		const peer = this.members.get(effect.peer);
		if (peer !== undefined && !this.silent.has(effect.peer)) {
			member.handleHeartbeatAnswer(effect, peer.answerHeartbeat(member.id, this.now), this.now);
		}
	}
}

function evicted(roster: Roster): string[] {
	return roster.seen.flatMap(effect =>
		effect.kind === EffectKind.Append && effect.record.kind === RecordKind.Evict ? effect.record.members : []);
}

for (const size of [3, 4, 5, 6]) {
	const ids = Array.from({length: size}, (_, i) => `a${i}`);
	test(`whoever falls silent among ${size} is evicted`, t => {
		for (const id of ids) {
			const roster = new Roster(ids);
			roster.run(1000);
			t.deepEqual(evicted(roster), []);
			roster.silent.add(id);
			roster.run(1000);
			t.deepEqual([...new Set(evicted(roster))], [id]);
		}
	});
}

test('the end of each lease orders the grants of a tenure', t => {
	const roster = new Roster(['a0', 'a1']);
	const member = roster.members.get('a0')!;
	roster.put({
		kind: RecordKind.Admit, targets: [{
			name: 't', pool: 'p', domain: 'a', addr: 't',
		}],
	}, 'a0');
	roster.put({kind: RecordKind.Tenure, changes: [{target: 't', steward: 'a0', prev: 0}]}, 'a0');
	const ends: number[] = [];
	const grants = () => member.tick(roster.now).filter((effect): effect is GrantEffect => effect.kind === EffectKind.Grant);
	// The reading of the clock seems to fall back as answers travel longer.
	for (const clock of [1000, 1000, 1010, 900, 1100]) {
		roster.now += 200;
		member.handleLogTail(roster.now, member.tables.folded + 1);
		for (const effect of grants()) {
			ends.push(effect.until);
			member.handleGrantAnswer(effect, {
				accepted: true, incarnation: 'life', tenure: effect.tenure, clock,
			}, roster.now);
		}
	}

	const leases = ends.filter(end => end > 0);
	t.true(leases.length >= 3);
	t.true(leases.every((end, i) => i === 0 || end > leases[i - 1]));
});

test('a lost target that one member can not reach is tried by another', t => {
	const roster = new Roster(['a0', 'a1']);
	const member = roster.members.get('a0')!;
	roster.put({
		kind: RecordKind.Admit, targets: [{
			name: 't', pool: 'p', domain: 'a', addr: 't',
		}],
	}, 'a0');
	roster.put({kind: RecordKind.Tenure, changes: [{target: 't', steward: 'a0', prev: 0}]}, 'a0');
	const {tenure} = member.tables.targets.get('t')!;
	roster.put({kind: RecordKind.Moves, lost: {target: 't', tenure}, moves: []}, 'a0');
	const drains: string[] = [];
	for (let ms = 0; ms < 12_000; ms += 100) {
		roster.now += 100;
		member.handleLogTail(roster.now, member.tables.folded + 1);
		for (const effect of member.tick(roster.now)) {
			if (effect.kind === EffectKind.Grant) {
				member.handleGrantFailure(effect);
			}

			if (effect.kind === EffectKind.Heartbeat) {
				member.handleHeartbeatAnswer(effect, roster.members.get(effect.peer)!.answerHeartbeat('a0', roster.now), roster.now);
			}

			if (effect.kind === EffectKind.DrainTarget) {
				drains.push(effect.target);
			}
		}
	}

	t.deepEqual(drains, ['t']);
});

test('a target that forgot its shards between two grants gets all of them again', t => {
	const roster = new Roster(['a0', 'a1']);
	const member = roster.members.get('a0')!;
	roster.put({kind: RecordKind.Config, base: 0, text: 'pool p keyed shards=2  # test\nroute GET /p/{key} p  # test\n'}, 'op');
	roster.put({
		kind: RecordKind.Admit, targets: [{
			name: 't', pool: 'p', domain: 'a', addr: 't',
		}],
	}, 'a0');
	roster.put({kind: RecordKind.Tenure, changes: [{target: 't', steward: 'a0', prev: 0}]}, 'a0');
	const moves = [0, 1].map(shard => ({
		pool: 'p', shard, to: 't', prev: 0, tenure: 0,
	}));
	roster.put({kind: RecordKind.Moves, moves}, 'a0');
	let shards = 0;
	const fulls: boolean[] = [];
	for (let round = 0; round < 8; round += 1) {
		roster.now += 200;
		member.handleLogTail(roster.now, member.tables.folded + 1);
		const grants = member.tick(roster.now).filter((effect): effect is GrantEffect => effect.kind === EffectKind.Grant);
		for (const effect of grants) {
			fulls.push(effect.isFull && effect.until > 0);
			shards = round === 4 ? 0 : shards + effect.grant.length;
			member.handleGrantAnswer(effect, {
				accepted: true, incarnation: 'life', tenure: effect.tenure, clock: roster.now, shards,
			}, roster.now);
		}
	}

	t.is(fulls.filter(Boolean).length, 2);
	t.is(shards, 2);
});

test('members that were paused together act again without the log', t => {
	const roster = new Roster(['a0', 'a1', 'b0', 'b1']);
	roster.run(1000);
	const members = [...roster.members.values()];
	t.true(members.every(member => member.rightUntil() > roster.now));
	roster.now += 2 * defaultTiming.rightMs;
	t.true(members.every(member => member.rightUntil() <= roster.now));
	roster.run(1000);
	t.true(members.every(member => member.rightUntil() > roster.now));
});

/** Answers every grant at once. */
function answerGrants(roster: Roster, member: Member, effects: readonly Effect[]): void {
	for (const effect of effects) {
		if (effect.kind === EffectKind.Grant) {
			member.handleGrantAnswer(effect, {
				accepted: true, incarnation: 'life', tenure: effect.tenure, clock: roster.now,
			}, roster.now);
		} else if (effect.kind === EffectKind.DrainShard) {
			member.handleShardDrained(effect.pool, effect.shard);
		}
	}
}

/** Ticks a member that reads the log and reaches its targets until it proposes moves. */
function untilMoves(roster: Roster, member: Member): string {
	for (let ticks = 0; ticks < 200; ticks++) {
		roster.now += 20;
		member.handleLogTail(roster.now, member.tables.folded + 1);
		const effects = member.tick(roster.now);
		answerGrants(roster, member, effects);
		roster.seen.push(...effects);
		for (const effect of effects) {
			if (effect.kind === EffectKind.Append && effect.record.kind === RecordKind.Moves) {
				return effect.record.id;
			}
		}
	}

	throw new Error('No moves were proposed.');
}

test('a move in doubt stays in doubt while the log is down', t => {
	const roster = new Roster(['a0']);
	const member = roster.members.get('a0')!;
	const targets = ['t0', 't1'].map(name => ({
		name, pool: 'p', domain: 'a', addr: name,
	}));
	const rules = 'pool p keyed shards=1 # test\n';
	roster.put({kind: RecordKind.Config, base: 0, text: rules}, 'operator');
	roster.put({kind: RecordKind.Admit, targets}, 'a0');
	roster.put({kind: RecordKind.Tenure, changes: targets.map(({name}) => ({target: name, steward: 'a0', prev: 0}))}, 'a0');
	t.true(roster.put({
		kind: RecordKind.Moves, moves: [{
			pool: 'p', shard: 0, to: 't0', prev: 0, tenure: 0,
		}],
	}, 'a0'));
	roster.put({kind: RecordKind.Config, base: 2, text: `${rules}out target t0 # test\n`}, 'operator');
	const lost = untilMoves(roster, member);
	roster.seen.length = 0;
	member.handleAppendInDoubt(lost);
	for (let attempt = 0; attempt < 3; attempt++) {
		// The move may have been appended, so the shard must not be taken up again.
		member.handleAppendRefused(untilMoves(roster, member));
	}

	t.deepEqual(roster.seen.filter(effect => effect.kind === EffectKind.Resume), []);
	t.false(roster.seen.some(effect => effect.kind === EffectKind.Grant && effect.grant.length > 0));
});

test('a new steward hands nothing over while orders of the former one may run', t => {
	const roster = new Roster(['a0', 'a1']);
	const member = roster.members.get('a0')!;
	const targets = ['t0', 't1'].map(name => ({
		name, pool: 'p', domain: 'a', addr: name,
	}));
	const rules = 'pool p keyed shards=1 # test\n';
	roster.put({kind: RecordKind.Config, base: 0, text: rules}, 'operator');
	roster.put({kind: RecordKind.Admit, targets}, 'a0');
	roster.put({kind: RecordKind.Tenure, changes: targets.map(({name}) => ({target: name, steward: 'a1', prev: 0}))}, 'a0');
	roster.put({
		kind: RecordKind.Moves, moves: [{
			pool: 'p', shard: 0, to: 't0', prev: 0, tenure: 0,
		}],
	}, 'a0');
	roster.put({kind: RecordKind.Config, base: 3, text: `${rules}out target t0 # test\n`}, 'operator');
	t.true(roster.put({kind: RecordKind.Tenure, changes: targets.map(({name}) => ({target: name, steward: 'a0', prev: 5}))}, 'a1'));
	untilMoves(roster, member);
	t.true(roster.now > defaultTiming.leaseMs);
});

test('no handover starts while the log is out of reach', t => {
	const roster = new Roster(['a0']);
	const member = roster.members.get('a0')!;
	const targets = ['t0', 't1'].map(name => ({
		name, pool: 'p', domain: 'a', addr: name,
	}));
	const rules = 'pool p keyed shards=1 # test\n';
	roster.put({kind: RecordKind.Config, base: 0, text: rules}, 'operator');
	roster.put({kind: RecordKind.Admit, targets}, 'a0');
	roster.put({kind: RecordKind.Tenure, changes: targets.map(({name}) => ({target: name, steward: 'a0', prev: 0}))}, 'a0');
	roster.put({
		kind: RecordKind.Moves, moves: [{
			pool: 'p', shard: 0, to: 't0', prev: 0, tenure: 0,
		}],
	}, 'a0');
	roster.put({kind: RecordKind.Config, base: 2, text: `${rules}out target t0 # test\n`}, 'operator');
	member.handleAppendRefused(untilMoves(roster, member));
	roster.seen.length = 0;
	// Heartbeats would keep the right alive; here the right is long enough.
	for (let ticks = 0; ticks < 100; ticks++) {
		roster.now += 20;
		const effects = member.tick(roster.now);
		answerGrants(roster, member, effects);
		roster.seen.push(...effects);
	}

	t.false(roster.seen.some(effect => effect.kind === EffectKind.DrainShard));
});

test('a target that holds fewer shards than it was granted is granted all again', t => {
	const roster = new Roster(['a0']);
	const member = roster.members.get('a0')!;
	roster.put({kind: RecordKind.Config, base: 0, text: 'pool p keyed shards=1 # test\n'}, 'operator');
	roster.put({
		kind: RecordKind.Admit, targets: [{
			name: 't', pool: 'p', domain: 'a', addr: 't',
		}],
	}, 'a0');
	roster.put({kind: RecordKind.Tenure, changes: [{target: 't', steward: 'a0', prev: 0}]}, 'a0');
	roster.put({
		kind: RecordKind.Moves, moves: [{
			pool: 'p', shard: 0, to: 't', prev: 0, tenure: 0,
		}],
	}, 'a0');
	const held = [1, 1, 0, 1];
	const granted: number[] = [];
	for (let ticks = 0; ticks < 60; ticks++) {
		roster.now += 20;
		member.handleLogTail(roster.now, member.tables.folded + 1);
		for (const effect of member.tick(roster.now)) {
			if (effect.kind === EffectKind.Grant) {
				const isLease = effect.until > 0 && effect.incarnation !== '';
				granted.push(...isLease ? [effect.grant.length] : []);
				member.handleGrantAnswer(effect, {
					accepted: true, incarnation: 'life', tenure: effect.tenure, clock: roster.now, shards: held[granted.length - 1],
				}, roster.now);
			}
		}
	}

	t.deepEqual(granted.slice(0, 5), [1, 0, 0, 1, 0]);
});

test('an instance that leaves and is evicted meanwhile may end', t => {
	const roster = new Roster(['a0', 'a1']);
	const member = roster.members.get('a0')!;
	member.leave();
	roster.put({kind: RecordKind.Evict, members: ['a0']}, 'a1');
	roster.run(100);
	t.is(roster.seen.filter(effect => effect.kind === EffectKind.Left).length, 1);
});

test('a leave whose answer was lost ends the instance', t => {
	const roster = new Roster(['a0', 'a1']);
	const member = roster.members.get('a0')!;
	member.leave();
	roster.run(20);
	const leave = roster.seen.find(effect => effect.kind === EffectKind.Append);
	t.is(leave?.record.kind, RecordKind.Leave);
	member.handleAppendInDoubt(leave!.record.id);
	roster.put({kind: RecordKind.Leave, instance: 'a0', idsHandedOver: false}, 'a0');
	roster.run(100);
	t.is(roster.seen.filter(effect => effect.kind === EffectKind.Left).length, 1);
});

test('an instance that proposed to leave acts no more', t => {
	const roster = new Roster(['a0', 'a1']);
	const member = roster.members.get('a0')!;
	roster.run(100);
	t.true(member.rightUntil() > roster.now);
	member.leave();
	roster.run(100);
	t.is(member.rightUntil(), -Infinity);
});
