import test from 'ava';
import {
	encodeRecord, createRecord, RecordKind, type RecordBody,
} from '../records/index.js';
import {
	EffectKind, type HeartbeatEffect, type Effect, type GrantEffect,
} from './effect.js';
import type {Identity} from './context.js';
import {Member} from './member.js';
import {defaultTiming} from './timing.js';

function makeIdentity(id: string): Identity {
	return {
		id, name: id, domain: id.slice(0, 1), peerAddr: id, internalAddr: id, controlAddr: id,
	};
}

/** Members that fold the same records and exchange heartbeats without delay, except the silent ones. */
class Cluster {
	readonly members = new Map<string, Member>();
	readonly silent = new Set<string>();
	readonly effects: Effect[] = [];
	now = 0;
	private numbers = 0;
	private readonly log: string[] = [];

	constructor(readonly ids: readonly string[]) {
		for (const id of ids) {
			const member = new Member({self: makeIdentity(id), timing: defaultTiming, random: () => this.random()});
			this.members.set(id, member);
		}

		for (const id of ids) {
			this.append({kind: RecordKind.Join, instance: id, ...makeIdentity(id)}, id);
		}
	}

	/** Appends a record that all members fold; returns whether all accepted it. */
	append(body: RecordBody, by: string): boolean {
		this.log.push(encodeRecord(createRecord(body, `record-${this.log.length}`, by)));
		const results = [...this.members.values()].map(member => {
			const result = member.fold(this.log.length, this.log.at(-1)!);
			member.handleLogTail(this.now, this.log.length + 1);
			return result.accepted;
		});
		return results.every(Boolean);
	}

	/** Advances the time by `ms` in ticks of 20 ms. */
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
			this.effects.push(effect);
			if (effect.kind === EffectKind.Heartbeat) {
				this.deliverHeartbeat(member, effect);
			}
		}
	}

	private deliverHeartbeat(member: Member, effect: HeartbeatEffect): void {
		const peer = this.members.get(effect.peer);
		if (peer !== undefined && !this.silent.has(effect.peer)) {
			member.handleHeartbeatAnswer(effect, peer.answerHeartbeat(member.id, this.now), this.now);
		}
	}
}

function evictedIds(cluster: Cluster): string[] {
	return cluster.effects.flatMap(effect =>
		effect.kind === EffectKind.Append && effect.record.kind === RecordKind.Evict ? effect.record.members : []);
}

for (const size of [3, 4, 5, 6]) {
	const ids = Array.from({length: size}, (_, i) => `a${i}`);
	test(`a silent member among ${size} is evicted`, t => {
		for (const id of ids) {
			const cluster = new Cluster(ids);
			cluster.run(1000);
			t.deepEqual(evictedIds(cluster), []);
			cluster.silent.add(id);
			cluster.run(1000);
			t.deepEqual([...new Set(evictedIds(cluster))], [id]);
		}
	});
}

// The lease end orders the grants of a tenure. When an answer takes longer, the target's
// clock seems to go back, and a later grant must not end before an earlier one.
test('each grant of a tenure has a later lease end', t => {
	const cluster = new Cluster(['a0', 'a1']);
	const member = cluster.members.get('a0')!;
	cluster.append({
		kind: RecordKind.Admit, targets: [{
			name: 't', pool: 'p', domain: 'a', addr: 't',
		}],
	}, 'a0');
	cluster.append({kind: RecordKind.Tenure, changes: [{target: 't', steward: 'a0', prev: 0}]}, 'a0');
	const ends: number[] = [];
	const grants = () => member.tick(cluster.now).filter((effect): effect is GrantEffect => effect.kind === EffectKind.Grant);
	// The clock readings seem to go back when answers take longer to arrive.
	for (const clock of [1000, 1000, 1010, 900, 1100]) {
		cluster.now += 200;
		member.handleLogTail(cluster.now, member.tables.folded + 1);
		for (const effect of grants()) {
			ends.push(effect.until);
			member.handleGrantAnswer(effect, {
				accepted: true, incarnation: 'life', tenure: effect.tenure, clock,
			}, cluster.now);
		}
	}

	const leases = ends.filter(end => end > 0);
	t.true(leases.length >= 3);
	t.true(leases.every((end, i) => i === 0 || end > leases[i - 1]));
});

// Possibly only the steward cannot reach a lost target, so another member must try.
test('a lost target that its steward cannot reach is transferred', t => {
	const cluster = new Cluster(['a0', 'a1']);
	const member = cluster.members.get('a0')!;
	cluster.append({
		kind: RecordKind.Admit, targets: [{
			name: 't', pool: 'p', domain: 'a', addr: 't',
		}],
	}, 'a0');
	cluster.append({kind: RecordKind.Tenure, changes: [{target: 't', steward: 'a0', prev: 0}]}, 'a0');
	const {tenure} = member.tables.targets.get('t')!;
	cluster.append({kind: RecordKind.Moves, lost: {target: 't', tenure}, moves: []}, 'a0');
	const drains: string[] = [];
	for (let ms = 0; ms < 12_000; ms += 100) {
		cluster.now += 100;
		member.handleLogTail(cluster.now, member.tables.folded + 1);
		for (const effect of member.tick(cluster.now)) {
			if (effect.kind === EffectKind.Grant) {
				member.handleGrantFailure(effect);
			}

			if (effect.kind === EffectKind.Heartbeat) {
				member.handleHeartbeatAnswer(effect, cluster.members.get(effect.peer)!.answerHeartbeat('a0', cluster.now), cluster.now);
			}

			if (effect.kind === EffectKind.DrainTarget) {
				drains.push(effect.target);
			}
		}
	}

	t.deepEqual(drains, ['t']);
});

// A target drops its shards when its lease expires between two grants. The steward then
// must not rely on what the target confirmed before.
test('a target that dropped its shards between two grants receives all of them again', t => {
	const cluster = new Cluster(['a0', 'a1']);
	const member = cluster.members.get('a0')!;
	cluster.append({kind: RecordKind.Config, base: 0, text: 'pool p keyed shards=2  # test\nroute GET /p/{key} p  # test\n'}, 'op');
	cluster.append({
		kind: RecordKind.Admit, targets: [{
			name: 't', pool: 'p', domain: 'a', addr: 't',
		}],
	}, 'a0');
	cluster.append({kind: RecordKind.Tenure, changes: [{target: 't', steward: 'a0', prev: 0}]}, 'a0');
	const moves = [0, 1].map(shard => ({
		pool: 'p', shard, to: 't', prev: 0, tenure: 0,
	}));
	cluster.append({kind: RecordKind.Moves, moves}, 'a0');
	let shards = 0;
	const fullGrants: boolean[] = [];
	for (let round = 0; round < 8; round += 1) {
		cluster.now += 200;
		member.handleLogTail(cluster.now, member.tables.folded + 1);
		const grants = member.tick(cluster.now).filter((effect): effect is GrantEffect => effect.kind === EffectKind.Grant);
		for (const effect of grants) {
			fullGrants.push(effect.isFull && effect.until > 0);
			shards = round === 4 ? 0 : shards + effect.grant.length;
			member.handleGrantAnswer(effect, {
				accepted: true, incarnation: 'life', tenure: effect.tenure, clock: cluster.now, shards,
			}, cluster.now);
		}
	}

	t.is(fullGrants.filter(Boolean).length, 2);
	t.is(shards, 2);
});

test('members that were paused together regain their rights without the log', t => {
	const cluster = new Cluster(['a0', 'a1', 'b0', 'b1']);
	cluster.run(1000);
	const members = [...cluster.members.values()];
	t.true(members.every(member => member.rightUntil() > cluster.now));
	cluster.now += 2 * defaultTiming.rightMs;
	t.true(members.every(member => member.rightUntil() <= cluster.now));
	cluster.run(1000);
	t.true(members.every(member => member.rightUntil() > cluster.now));
});

/** Accepts every grant and completes every drain immediately. */
function completeEffects(cluster: Cluster, member: Member, effects: readonly Effect[]): void {
	for (const effect of effects) {
		if (effect.kind === EffectKind.Grant) {
			member.handleGrantAnswer(effect, {
				accepted: true, incarnation: 'life', tenure: effect.tenure, clock: cluster.now,
			}, cluster.now);
		} else if (effect.kind === EffectKind.DrainShard) {
			member.handleShardDrained(effect.pool, effect.shard);
		}
	}
}

/** Ticks a member that can read the log and reach its targets until it proposes moves; returns the record id. */
function runUntilMoves(cluster: Cluster, member: Member): string {
	for (let ticks = 0; ticks < 200; ticks++) {
		cluster.now += 20;
		member.handleLogTail(cluster.now, member.tables.folded + 1);
		const effects = member.tick(cluster.now);
		completeEffects(cluster, member, effects);
		cluster.effects.push(...effects);
		for (const effect of effects) {
			if (effect.kind === EffectKind.Append && effect.record.kind === RecordKind.Moves) {
				return effect.record.id;
			}
		}
	}

	throw new Error('no moves proposed within 200 ticks');
}

// The outcome of an append is unknown, and every later append is refused. The steward must
// not conclude from the refusals that the move failed.
test('a move in doubt stays in doubt while the log is unavailable', t => {
	const cluster = new Cluster(['a0']);
	const member = cluster.members.get('a0')!;
	const targets = ['t0', 't1'].map(name => ({
		name, pool: 'p', domain: 'a', addr: name,
	}));
	const rules = 'pool p keyed shards=1 # test\n';
	cluster.append({kind: RecordKind.Config, base: 0, text: rules}, 'operator');
	cluster.append({kind: RecordKind.Admit, targets}, 'a0');
	cluster.append({kind: RecordKind.Tenure, changes: targets.map(({name}) => ({target: name, steward: 'a0', prev: 0}))}, 'a0');
	t.true(cluster.append({
		kind: RecordKind.Moves, moves: [{
			pool: 'p', shard: 0, to: 't0', prev: 0, tenure: 0,
		}],
	}, 'a0'));
	cluster.append({kind: RecordKind.Config, base: 2, text: `${rules}out target t0 # test\n`}, 'operator');
	const recordId = runUntilMoves(cluster, member);
	cluster.effects.length = 0;
	member.handleAppendInDoubt(recordId);
	for (let attempt = 0; attempt < 3; attempt++) {
		// The move may have been appended, so work on the shard must not resume.
		member.handleAppendRefused(runUntilMoves(cluster, member));
	}

	t.deepEqual(cluster.effects.filter(effect => effect.kind === EffectKind.Resume), []);
	t.false(cluster.effects.some(effect => effect.kind === EffectKind.Grant && effect.grant.length > 0));
});

test('a new steward hands nothing over while orders of the former one may be running', t => {
	const cluster = new Cluster(['a0', 'a1']);
	const member = cluster.members.get('a0')!;
	const targets = ['t0', 't1'].map(name => ({
		name, pool: 'p', domain: 'a', addr: name,
	}));
	const rules = 'pool p keyed shards=1 # test\n';
	cluster.append({kind: RecordKind.Config, base: 0, text: rules}, 'operator');
	cluster.append({kind: RecordKind.Admit, targets}, 'a0');
	cluster.append({kind: RecordKind.Tenure, changes: targets.map(({name}) => ({target: name, steward: 'a1', prev: 0}))}, 'a0');
	cluster.append({
		kind: RecordKind.Moves, moves: [{
			pool: 'p', shard: 0, to: 't0', prev: 0, tenure: 0,
		}],
	}, 'a0');
	cluster.append({kind: RecordKind.Config, base: 3, text: `${rules}out target t0 # test\n`}, 'operator');
	t.true(cluster.append({kind: RecordKind.Tenure, changes: targets.map(({name}) => ({target: name, steward: 'a0', prev: 5}))}, 'a1'));
	runUntilMoves(cluster, member);
	t.true(cluster.now > defaultTiming.leaseMs);
});

test('no handover starts while the log is unavailable', t => {
	const cluster = new Cluster(['a0']);
	const member = cluster.members.get('a0')!;
	const targets = ['t0', 't1'].map(name => ({
		name, pool: 'p', domain: 'a', addr: name,
	}));
	const rules = 'pool p keyed shards=1 # test\n';
	cluster.append({kind: RecordKind.Config, base: 0, text: rules}, 'operator');
	cluster.append({kind: RecordKind.Admit, targets}, 'a0');
	cluster.append({kind: RecordKind.Tenure, changes: targets.map(({name}) => ({target: name, steward: 'a0', prev: 0}))}, 'a0');
	cluster.append({
		kind: RecordKind.Moves, moves: [{
			pool: 'p', shard: 0, to: 't0', prev: 0, tenure: 0,
		}],
	}, 'a0');
	cluster.append({kind: RecordKind.Config, base: 2, text: `${rules}out target t0 # test\n`}, 'operator');
	member.handleAppendRefused(runUntilMoves(cluster, member));
	cluster.effects.length = 0;
	// No heartbeats renew the right here; it lasts long enough for a handover to start.
	for (let ticks = 0; ticks < 100; ticks++) {
		cluster.now += 20;
		const effects = member.tick(cluster.now);
		completeEffects(cluster, member, effects);
		cluster.effects.push(...effects);
	}

	t.false(cluster.effects.some(effect => effect.kind === EffectKind.DrainShard));
});

test('a target that reports fewer shards than granted receives all again', t => {
	const cluster = new Cluster(['a0']);
	const member = cluster.members.get('a0')!;
	cluster.append({kind: RecordKind.Config, base: 0, text: 'pool p keyed shards=1 # test\n'}, 'operator');
	cluster.append({
		kind: RecordKind.Admit, targets: [{
			name: 't', pool: 'p', domain: 'a', addr: 't',
		}],
	}, 'a0');
	cluster.append({kind: RecordKind.Tenure, changes: [{target: 't', steward: 'a0', prev: 0}]}, 'a0');
	cluster.append({
		kind: RecordKind.Moves, moves: [{
			pool: 'p', shard: 0, to: 't', prev: 0, tenure: 0,
		}],
	}, 'a0');
	const reportedShards = [1, 1, 0, 1];
	const grantSizes: number[] = [];
	for (let ticks = 0; ticks < 60; ticks++) {
		cluster.now += 20;
		member.handleLogTail(cluster.now, member.tables.folded + 1);
		for (const effect of member.tick(cluster.now)) {
			if (effect.kind === EffectKind.Grant) {
				const isLease = effect.until > 0 && effect.incarnation !== '';
				grantSizes.push(...isLease ? [effect.grant.length] : []);
				member.handleGrantAnswer(effect, {
					accepted: true, incarnation: 'life', tenure: effect.tenure, clock: cluster.now, shards: reportedShards[grantSizes.length - 1],
				}, cluster.now);
			}
		}
	}

	t.deepEqual(grantSizes.slice(0, 5), [1, 0, 0, 1, 0]);
});

test('an instance that is evicted while leaving may exit', t => {
	const cluster = new Cluster(['a0', 'a1']);
	const member = cluster.members.get('a0')!;
	member.leave();
	cluster.append({kind: RecordKind.Evict, members: ['a0']}, 'a1');
	cluster.run(100);
	t.is(cluster.effects.filter(effect => effect.kind === EffectKind.Left).length, 1);
});

// The leave record was appended but its answer was lost, so the instance proposes it again.
test('a leave record with a lost answer still lets the instance exit', t => {
	const cluster = new Cluster(['a0', 'a1']);
	const member = cluster.members.get('a0')!;
	member.leave();
	cluster.run(20);
	const leave = cluster.effects.find(effect => effect.kind === EffectKind.Append);
	t.is(leave?.record.kind, RecordKind.Leave);
	member.handleAppendInDoubt(leave!.record.id);
	cluster.append({
		kind: RecordKind.Leave, instance: 'a0', idsHandedOver: false, idsHolder: '', copiesHolder: '',
	}, 'a0');
	cluster.run(100);
	t.is(cluster.effects.filter(effect => effect.kind === EffectKind.Left).length, 1);
});

test('an instance that proposed to leave no longer acts', t => {
	const cluster = new Cluster(['a0', 'a1']);
	const member = cluster.members.get('a0')!;
	cluster.run(100);
	t.true(member.rightUntil() > cluster.now);
	member.leave();
	cluster.run(100);
	t.is(member.rightUntil(), -Infinity);
});
