import test from 'ava';
import fc from 'fast-check';
import {Repeat, TargetPhase, type TargetInfo} from '@bluebellyard/core';
import type {GatewayConfig} from '../ports/index.js';
import {DeltaStore} from './delta-store.js';
import {View} from './view.js';

function config(version: number, routeNames: readonly string[]): GatewayConfig {
	return {
		version,
		routes: routeNames.map(name => ({
			name, host: 'a.example', prefix: `/${name}/`, repeat: Repeat.Idempotent, timeoutMs: 1000, objectiveMs: 100, priority: 1, maxTargets: 1, services: [{service: 's', weight: 1}],
		})),
		services: [{
			name: 's', isSharded: true, maxConnections: 10, coldRate: 1, healthPath: '/health',
		}],
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
}

const target: TargetInfo = {
	id: 'i@1', name: 'i', service: 's', addr: '10.0.0.1:1', domain: 'x', slots: 2, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
};

/** Returns all rows sorted by key; a replica may have inserted them in another order. */
function rows(store: DeltaStore): Array<readonly [string, unknown]> {
	return [...store.withPrefix<unknown>('')].toSorted(([a], [b]) => a < b ? -1 : 1);
}

test('a replica that applies all deltas equals the original', t => {
	const change = fc.record({key: fc.constantFrom('a', 'b', 'c', 'd'), value: fc.option(fc.nat(3)), isReplicated: fc.boolean()});
	fc.assert(fc.property(fc.array(change, {maxLength: 40}), changes => {
		const original = new DeltaStore();
		const replica = new DeltaStore();
		let replicatedSeq = -1;
		for (const {key, value, isReplicated} of changes) {
			if (value === null) {
				original.remove(key);
			} else {
				original.set(key, value);
			}

			if (isReplicated) {
				const delta = original.deltaSince(replicatedSeq);
				replica.apply(delta);
				replicatedSeq = delta.seq;
			}
		}

		replica.apply(original.deltaSince(replicatedSeq));
		t.deepEqual(rows(replica), rows(original));
	}));
});

test('a key removed and set again between two deltas is kept', t => {
	const original = new DeltaStore();
	const replica = new DeltaStore();
	original.set('a', 1);
	original.set('b', 2);
	const {seq} = original.deltaSince(-1);
	replica.apply(original.deltaSince(-1));
	original.remove('a');
	original.set('a', 1);
	replica.apply(original.deltaSince(seq));
	t.deepEqual(rows(replica), [['a', 1], ['b', 2]]);
});

test('setting an equal value is not a change', t => {
	const store = new DeltaStore();
	t.true(store.set('a', {x: 1}));
	t.false(store.set('a', {x: 1}));
	t.is(store.lastSeq, 1);
	t.false(store.remove('b'));
});

test('an older configuration does not replace a newer one', t => {
	const view = new View();
	t.true(view.setConfig(config(5, ['new'])));
	t.false(view.setConfig(config(4, ['old'])));
	const other = new View();
	other.setConfig(config(4, ['old']));
	other.store.set('target/i@1', target);
	view.apply(other.store.deltaSince(-1));
	t.is(view.configVersion, 5);
	t.is(view.routes.match('a.example', '/new/')?.name, 'new');
	t.is(view.routes.match('a.example', '/old/'), undefined);
	t.is(view.targets.size, 1);
});

test('a newer configuration removes routes that it lacks', t => {
	const view = new View();
	view.setConfig(config(1, ['a', 'b']));
	view.setConfig(config(2, ['b']));
	t.is(view.routes.match('a.example', '/a/'), undefined);
});

// The leader started again and had not read the configuration at its first ping.
test('a configuration that a new leader reads later replaces the one of a follower as a whole', t => {
	const leader = new View();
	leader.store.set('target/i@1', target);
	const follower = new View();
	follower.setConfig(config(4, ['kept', 'dropped']));
	follower.apply(leader.store.deltaSince(-1));
	t.is(follower.routes.match('a.example', '/dropped/')?.name, 'dropped');
	const {lastSeq} = leader.store;
	leader.setConfig(config(10, ['kept']));
	follower.apply(leader.store.deltaSince(lastSeq));
	t.is(follower.configVersion, 10);
	t.is(follower.routes.match('a.example', '/dropped/'), undefined);
	t.is(follower.routes.match('a.example', '/kept/')?.name, 'kept');
});

// The follower had read a newer configuration from the store itself.
test('changes of a configuration are not mixed with those of another one', t => {
	const leader = new View();
	leader.setConfig(config(4, ['a', 'b']));
	const follower = new View();
	follower.setConfig(config(5, ['c']));
	follower.apply(leader.store.deltaSince(-1));
	t.is(follower.configVersion, 5);
	t.true(follower.keepsOwnConfig);
	const {lastSeq} = leader.store;
	leader.setConfig(config(6, ['b', 'd']));
	follower.apply(leader.store.deltaSince(lastSeq));
	t.false(follower.keepsOwnConfig);
	t.deepEqual(['a', 'b', 'c', 'd'].filter(name => follower.routes.match('a.example', `/${name}/`) !== undefined), ['b', 'd']);
});

test('draining targets and targets in an evacuated domain get no work', t => {
	const view = new View();
	view.store.set('target/i@1', target);
	t.is(view.usableTargets('s').length, 1);
	view.store.set('evacuated/x', true);
	t.is(view.usableTargets('s').length, 0);
	view.store.remove('evacuated/x');
	view.store.set('target/i@1', {...target, phase: TargetPhase.Draining});
	t.is(view.usableTargets('s').length, 0);
});

test('finds the range of a key', t => {
	const view = new View();
	view.store.set('keys/s/0', {to: 9, owner: 'a', isOpen: true});
	view.store.set('keys/s/10', {to: 65_535, owner: 'b', isOpen: true});
	t.is(view.findRange('s', 9)?.owner, 'a');
	t.is(view.findRange('s', 10)?.owner, 'b');
	t.is(view.findRange('other', 10), undefined);
});

test('a target that announced its leaving gets no work, its next incarnation does', t => {
	const view = new View();
	t.true(view.recordLeaving(target.id));
	t.false(view.recordLeaving(target.id));
	t.false(view.isUsable(target));
	t.true(view.isUsable({...target, id: 'i@2'}));
});

test('a target that announced its leaving to another instance gets no work', t => {
	const view = new View();
	view.apply({
		isFull: false, seq: 1, set: [['leaving/i@1', true]], gone: [],
	});
	t.true(view.isLeaving('i@1'));
	t.false(view.recordLeaving('i@1'));
	t.deepEqual(view.leavingTargets(), ['i@1']);
});
