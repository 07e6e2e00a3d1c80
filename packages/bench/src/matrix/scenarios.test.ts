import {EffectKind, RecordKind, type Timing} from '@bluebellyard/core';
import test from 'ava';
import {runSimulation, warmUp} from './cell.js';
import {LinkFault} from './network.js';
import type {SimulatedNode} from './simulated-node.js';
import {baseRules, Simulation} from './simulation.js';

const isIn = (domain: string) => (node: SimulatedNode) => node.domain === domain;
const isInOrLog = (domain: string) => (node: SimulatedNode) => node.domain === domain || node.domain === 'platform';

function createWarmSimulation(seed: number, timing: Partial<Timing> = {}): Simulation {
	const simulation = new Simulation(seed, new Set(), timing);
	warmUp(simulation);
	simulation.probe = undefined;
	return simulation;
}

function cutBothWays(simulation: Simulation, near: (node: SimulatedNode) => boolean, far: (node: SimulatedNode) => boolean): () => void {
	const heals = [
		simulation.network.addRule({fault: LinkFault.Cut, from: near, to: far}),
		simulation.network.addRule({fault: LinkFault.Cut, from: far, to: near}),
	];
	return () => {
		for (const heal of heals) {
			heal();
		}
	};
}

/** Calls `onReached` at the first eviction that an instance of the domain proposes. */
function onEviction(simulation: Simulation, domain: string, onReached: () => void): void {
	let isReached = false;
	const ignore = () => undefined;
	simulation.probe = {
		onEffect(instance, effect) {
			const isEviction = effect.kind === EffectKind.Append && effect.record.kind === RecordKind.Evict;
			if (isEviction && instance.node.domain === domain && !isReached) {
				isReached = true;
				onReached();
			}
		},
		onOrder: ignore,
		onSnapshot: ignore,
		onPublish: ignore,
	};
}

// The third domain stays connected to the log. It must not take over the shards of the other two
// domains while these are cut off from it but still reach each other.
for (const seed of [1, 2, 3, 4]) {
	test(`two domains cut off from the third and the log violate no invariant and recover: seed ${seed}`, t => {
		const simulation = createWarmSimulation(seed, {isolationMs: 6000});
		const heals = [cutBothWays(simulation, isIn('a'), isInOrLog('c'))];
		const heal = cutBothWays(simulation, isIn('a'), isIn('b'));
		onEviction(simulation, 'c', () => {
			heals.push(cutBothWays(simulation, isIn('b'), isInOrLog('c')));
			heal();
		});
		runSimulation(simulation, simulation.queue.now + 20_000);
		t.is(simulation.checker.violation, undefined);
		for (const end of heals) {
			end();
		}

		runSimulation(simulation, simulation.queue.now + 4000);
		t.is(simulation.checker.violation, undefined);
		t.deepEqual(simulation.findUnservedShards(1500), []);
	});
}

/** Returns the keys of the shards that targets of the domain own. */
function findShards(simulation: Simulation, domain: string): string[] {
	const {tables} = [...simulation.instances.values()][0].member!;
	return [...tables.pools.values()].flatMap(pool => [...pool.shards.entries()]
		.filter(([, {owner}]) => tables.targets.get(owner)?.domain === domain)
		.map(([shard]) => `${pool.name}/${shard}`));
}

test('a domain cut off from all others serves its shards for the isolation time, then others take over', t => {
	const simulation = createWarmSimulation(5, {isolationMs: 4000});
	const shardsInDomain = findShards(simulation, 'a');
	t.true(shardsInDomain.length > 0);
	cutBothWays(simulation, isIn('a'), node => node.domain !== 'a' && node.domain !== 'outside');
	const since = simulation.queue.now;
	runSimulation(simulation, since + 3000);
	t.false(shardsInDomain.some(shard => simulation.findUnservedShards(1500).includes(shard)));
	runSimulation(simulation, since + 6500);
	t.true(shardsInDomain.every(shard => simulation.findUnservedShards(1500).includes(shard)));
	runSimulation(simulation, since + 14_000);
	t.deepEqual(simulation.findUnservedShards(1500), []);
	t.is(simulation.checker.violation, undefined);
});

test('a domain cut off from the platform only keeps serving', t => {
	const simulation = createWarmSimulation(6, {isolationMs: 3000});
	cutBothWays(simulation, isIn('a'), isIn('platform'));
	for (let seconds = 0; seconds < 15; seconds++) {
		runSimulation(simulation, simulation.queue.now + 1000);
		t.deepEqual(simulation.findUnservedShards(1500), []);
	}

	t.is(simulation.checker.violation, undefined);
});

test('a long log outage interrupts no service', t => {
	const simulation = createWarmSimulation(7, {isolationMs: 3000});
	simulation.log.isDown = true;
	for (let seconds = 0; seconds < 30; seconds++) {
		runSimulation(simulation, simulation.queue.now + 1000);
		t.deepEqual(simulation.findUnservedShards(1500), []);
	}

	t.is(simulation.checker.violation, undefined);
});

test('a steward killed during a log outage is replaced after the outage', t => {
	const simulation = createWarmSimulation(8);
	simulation.log.isDown = true;
	const instance = [...simulation.instances.values()].find(other => [...other.member!.tables.targets.values()]
		.some(row => row.steward === other.member!.id))!;
	instance.node.kill();
	runSimulation(simulation, simulation.queue.now + 5000);
	t.true(simulation.findUnservedShards(1500).length > 0);
	simulation.log.isDown = false;
	runSimulation(simulation, simulation.queue.now + 6000);
	t.deepEqual(simulation.findUnservedShards(1500), []);
	t.is(simulation.checker.violation, undefined);
});

test('a killed domain that is declared lost is replaced at once', t => {
	const simulation = createWarmSimulation(9, {isolationMs: 60_000});
	for (const instance of simulation.instances.values()) {
		if (instance.node.domain === 'a') {
			instance.node.kill();
			simulation.instances.delete(instance.name);
		}
	}

	for (const target of simulation.targets.values()) {
		if (target.domain === 'a') {
			target.node.kill();
		}
	}

	runSimulation(simulation, simulation.queue.now + 2000);
	t.true(simulation.findUnservedShards(1500).length > 0);
	simulation.publishRules(`${baseRules}lost domain a # matrix\n`);
	runSimulation(simulation, simulation.queue.now + 5000);
	t.deepEqual(simulation.findUnservedShards(1500), []);
	t.is(simulation.checker.violation, undefined);
});

test('a domain taken out of service receives no new orders and every shard is served', t => {
	const simulation = createWarmSimulation(10);
	const targets = ['a-checking', 'a-trusting'];
	simulation.publishRules(`${baseRules}out domain a # matrix\n`);
	runSimulation(simulation, simulation.queue.now + 3500);
	t.false(targets.some(target => simulation.checker.hasRecentWork(target, 1500)));
	t.deepEqual(simulation.findUnservedShards(1500), []);
	simulation.publishRules(baseRules);
	runSimulation(simulation, simulation.queue.now + 3000);
	t.true(targets.every(target => simulation.checker.hasRecentWork(target, 1500)));
	t.deepEqual(simulation.findUnservedShards(1500), []);
	t.is(simulation.checker.violation, undefined);
});
