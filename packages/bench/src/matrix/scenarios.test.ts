import {EffectKind, RecordKind, type Timing} from '@bluebellyard/core';
import test from 'ava';
import {runSimulation, warmUp} from './cell.js';
import {LinkFault} from './network.js';
import type {SimulatedNode} from './simulated-node.js';
import {baseRules, Simulation} from './simulation.js';

const isIn = (domain: string) => (site: SimulatedNode) => site.domain === domain;
const isInOrLog = (domain: string) => (site: SimulatedNode) => site.domain === domain || site.domain === 'platform';

function warmWorld(seed: number, timing: Partial<Timing> = {}): Simulation {
	const world = new Simulation(seed, new Set(), timing);
	warmUp(world);
	world.probe = undefined;
	return world;
}

function cut(world: Simulation, near: (site: SimulatedNode) => boolean, far: (site: SimulatedNode) => boolean): () => void {
	const heals = [
		world.network.addRule({fault: LinkFault.Cut, from: near, to: far}),
		world.network.addRule({fault: LinkFault.Cut, from: far, to: near}),
	];
	return () => {
		for (const heal of heals) {
			heal();
		}
	};
}

/** Calls `reached` at the first eviction that an instance of the domain proposes. */
function onEviction(world: Simulation, domain: string, reached: () => void): void {
	let isReached = false;
	const ignore = () => undefined;
	world.probe = {
		onEffect(host, effect) {
			const isEviction = effect.kind === EffectKind.Append && effect.record.kind === RecordKind.Evict;
			if (isEviction && host.node.domain === domain && !isReached) {
				isReached = true;
				reached();
			}
		},
		onOrder: ignore,
		onSnapshot: ignore,
		onPublish: ignore,
	};
}

for (const seed of [1, 2, 3, 4]) {
	test(`two domains that lost the third go on, and nobody takes their shards: seed ${seed}`, t => {
		const world = warmWorld(seed, {isolationMs: 6000});
		const heals = [cut(world, isIn('a'), isInOrLog('c'))];
		const heal = cut(world, isIn('a'), isIn('b'));
		onEviction(world, 'c', () => {
			heals.push(cut(world, isIn('b'), isInOrLog('c')));
			heal();
		});
		runSimulation(world, world.queue.now + 20_000);
		t.is(world.checker.violation, undefined);
		for (const end of heals) {
			end();
		}

		runSimulation(world, world.queue.now + 4000);
		t.is(world.checker.violation, undefined);
		t.deepEqual(world.findUnservedShards(1500), []);
	});
}

/** Shards that targets of the domain own. */
function shardsOf(world: Simulation, domain: string): string[] {
	const {tables} = [...world.instances.values()][0].member!;
	return [...tables.pools.values()].flatMap(pool => [...pool.shards.entries()]
		.filter(([, {owner}]) => tables.targets.get(owner)?.domain === domain)
		.map(([shard]) => `${pool.name}/${shard}`));
}

test('a domain that is cut off goes on for its bound, then others take over', t => {
	const world = warmWorld(5, {isolationMs: 4000});
	const inside = shardsOf(world, 'a');
	t.true(inside.length > 0);
	cut(world, isIn('a'), site => site.domain !== 'a' && site.domain !== 'outside');
	const since = world.queue.now;
	runSimulation(world, since + 3000);
	t.false(inside.some(shard => world.findUnservedShards(1500).includes(shard)));
	runSimulation(world, since + 6500);
	t.true(inside.every(shard => world.findUnservedShards(1500).includes(shard)));
	runSimulation(world, since + 14_000);
	t.deepEqual(world.findUnservedShards(1500), []);
	t.is(world.checker.violation, undefined);
});

test('a domain that is cut off from the platform only goes on without a bound', t => {
	const world = warmWorld(6, {isolationMs: 3000});
	cut(world, isIn('a'), isIn('platform'));
	for (let seconds = 0; seconds < 15; seconds++) {
		runSimulation(world, world.queue.now + 1000);
		t.deepEqual(world.findUnservedShards(1500), []);
	}

	t.is(world.checker.violation, undefined);
});

test('a log outage alone stops nothing, however long', t => {
	const world = warmWorld(7, {isolationMs: 3000});
	world.log.isDown = true;
	for (let seconds = 0; seconds < 30; seconds++) {
		runSimulation(world, world.queue.now + 1000);
		t.deepEqual(world.findUnservedShards(1500), []);
	}

	t.is(world.checker.violation, undefined);
});

test('a steward lost while the log is down is replaced when the log is back', t => {
	const world = warmWorld(8);
	world.log.isDown = true;
	const host = [...world.instances.values()].find(other => [...other.member!.tables.targets.values()]
		.some(row => row.steward === other.member!.id))!;
	host.node.kill();
	runSimulation(world, world.queue.now + 5000);
	t.true(world.findUnservedShards(1500).length > 0);
	world.log.isDown = false;
	runSimulation(world, world.queue.now + 6000);
	t.deepEqual(world.findUnservedShards(1500), []);
	t.is(world.checker.violation, undefined);
});

test('a domain that is switched off and declared lost is replaced at once', t => {
	const world = warmWorld(9, {isolationMs: 60_000});
	for (const host of world.instances.values()) {
		if (host.node.domain === 'a') {
			host.node.kill();
			world.instances.delete(host.name);
		}
	}

	for (const target of world.targets.values()) {
		if (target.domain === 'a') {
			target.node.kill();
		}
	}

	runSimulation(world, world.queue.now + 2000);
	t.true(world.findUnservedShards(1500).length > 0);
	world.publishRules(`${baseRules}lost domain a # matrix\n`);
	runSimulation(world, world.queue.now + 5000);
	t.deepEqual(world.findUnservedShards(1500), []);
	t.is(world.checker.violation, undefined);
});

test('a domain that is taken out receives no new work, and all is served', t => {
	const world = warmWorld(10);
	const targets = ['a-checking', 'a-trusting'];
	world.publishRules(`${baseRules}out domain a # matrix\n`);
	runSimulation(world, world.queue.now + 3500);
	t.false(targets.some(target => world.checker.hasRecentWork(target, 1500)));
	t.deepEqual(world.findUnservedShards(1500), []);
	world.publishRules(baseRules);
	runSimulation(world, world.queue.now + 3000);
	t.true(targets.every(target => world.checker.hasRecentWork(target, 1500)));
	t.deepEqual(world.findUnservedShards(1500), []);
	t.is(world.checker.violation, undefined);
});
