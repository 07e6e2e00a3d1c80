/**
 * Another writer may put records beside those of the targets, or in their place. A record with a service that no
 * configuration names says nothing of any target: it ends no lease, frees no keys, gets no queue and hides no target.
 */
import test from 'ava';
import {TargetPhase, type TargetInfo} from '@bluebellyard/core';
import {
	feedTarget, FeedHarness, LeaderHarness, until,
} from '../mocks/index.js';
import type {GatewayConfig} from '../ports/index.js';
import {View, weighQueues} from '../view/index.js';

const foreign: TargetInfo = {
	id: 'x@9', name: 'x', service: 'unknown', addr: 'a', domain: 'x', slots: 4, phase: TargetPhase.Ready, bornAt: 9, coldLeftMs: 0,
};

/** Returns the checked keys that several targets own at once. */
function findSharedKeys({control}: LeaderHarness): number[] {
	return [0, 1000, 32_767, 32_768, 65_535].filter(key => control.ownersOfKey(key).length > 1);
}

test('a foreign record with the address of an owner does not end its lease', async t => {
	const harness = new LeaderHarness();
	await harness.start();
	const keys = [0, 65_535];
	t.deepEqual(keys.map(key => harness.control.ownersOfKey(key).length), [1, 1]);
	harness.view.store.set('target/x@9', foreign);
	await harness.run(12_000);
	t.deepEqual(keys.map(key => harness.control.ownersOfKey(key).length), [1, 1]);
	harness.leader?.stop();
});

for (const service of ['unknown', 's']) {
	test(`a foreign record of the service ${service} gives no keys away while their owner holds them`, async t => {
		const harness = new LeaderHarness();
		await harness.start();
		harness.view.store.set('target/x@9', {...foreign, service, phase: TargetPhase.Draining});
		await harness.run(1000);
		harness.moveKeys();
		for (let i = 0; i < 50; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await harness.run(100);
			t.deepEqual(findSharedKeys(harness), []);
		}

		t.deepEqual(harness.control.ownersOfKey(0), ['b']);
		t.true(harness.control.requests.some(request => request.startsWith('release a')));
		harness.leader?.stop();
	});
}

test('a foreign target gets no work and no queue', t => {
	const view = new View();
	view.store.set('target/x@9', foreign);
	t.true(view.isUsable(foreign));
	view.store.set('service/s', {
		name: 's', isSharded: false, maxConnections: 1, coldRate: 1, healthPath: '/',
	});
	t.false(view.isUsable(foreign));
	t.deepEqual(weighQueues(view), []);
});

test('a foreign record in the place of a target does not hide the target', async t => {
	const {reader, view, targets, operators} = new FeedHarness();
	const config: GatewayConfig = {
		version: 1,
		routes: [],
		services: [{
			name: 's', isSharded: false, maxConnections: 1, coldRate: 1, healthPath: '/',
		}],
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
	operators.put('config', {kind: 'config', config});
	targets.put('i', feedTarget);
	reader.start();
	t.teardown(() => {
		reader.stop();
	});
	t.true(await until(() => view.targets.has('i@1') && view.configVersion === 1));
	targets.put('i', {...foreign, name: 'i', id: 'i@9'});
	targets.put('j', {...feedTarget, name: 'j', id: 'j@1'});
	t.true(await until(() => view.targets.has('j@1')));
	t.deepEqual([...view.targets.keys()], ['i@1', 'j@1']);
	targets.put('i', {...feedTarget, id: 'i@2', bornAt: 2});
	t.true(await until(() => view.targets.has('i@2')));
});
