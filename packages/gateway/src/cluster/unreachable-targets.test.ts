/**
 * Who takes over from instances that reach no target, and when it goes back, without a network: guards against queues
 * that stay with an instance that is cut off, move more often than needed, or leave their domain without need.
 */
import test from 'ava';
import {seededRandom} from '@bluebellyard/core';
import {PathSimulation, type SimulationSize} from '../mocks/path-simulation.js';
import {SimulatedPartition} from '../mocks/simulated-partition.js';

/** Time from the start of a partition until all queues and the lead are with instances that reach the targets, in milliseconds. */
const takeOverMs = 1500;

/** The same if connections are accepted and nothing is answered, which takes a silence of 1 s at each instance. */
const unansweredTakeOverMs = 3000;

/** Time from the end of a partition until all is as before, in milliseconds. */
const recoveryMs = 3000;

/**
 * Largest number of moves of one queue until then: away from the first instance, once for each publication while the
 * others of the domain report (some 40 ms, 15 ms apart), once from an instance whose report was lost, and back.
 */
const maxMoves = 6;

const domains = ['x', 'y', 'z'];

const sizes: readonly SimulationSize[] = [
	{domains, instancesPerDomain: 3, targetsPerDomain: 4},
	{domains, instancesPerDomain: 23, targetsPerDomain: 12},
];

/** Which instances are cut off. */
enum Extent {
	One = 'one instance',
	Most = 'most of a domain',
	Domain = 'all of a domain',
	TwoDomains = 'two domains',
	All = 'all instances',
}

/** Seeds per case; those of different cases are different. */
const seedsPerCase = 4;

function selectNames(simulation: PathSimulation, extent: Extent, random: () => number): string[] {
	const first = Math.floor(random() * domains.length);
	const inDomain = (offset: number) => simulation.names.filter(name => simulation.domainOf(name) === domains[(first + offset) % domains.length]);
	switch (extent) {
		case Extent.One: {
			return [simulation.names[Math.floor(random() * simulation.names.length)]];
		}

		case Extent.Most: {
			return inDomain(0).slice(1);
		}

		case Extent.Domain: {
			return inDomain(0);
		}

		case Extent.TwoDomains: {
			return [...inDomain(0), ...inDomain(1)];
		}

		case Extent.All: {
			return simulation.names;
		}
	}
}

for (const size of sizes) {
	const count = size.instancesPerDomain * domains.length;
	for (const extent of [Extent.One, Extent.Most, Extent.Domain, Extent.TwoDomains]) {
		for (const partition of Object.values(SimulatedPartition)) {
			test(`${count} instances, ${extent} cut off, ${partition}: queues and lead move and come back`, t => {
				const most: number[] = [];
				for (let i = 1; i <= seedsPerCase; i += 1) {
					const seed = (count * 1009) + i;
					const random = seededRandom(seed);
					const simulation = new PathSimulation(size, random);
					const cut = new Set(selectNames(simulation, extent, random));
					const cutDomains = new Set(domains.filter(domain => simulation.names.every(name => cut.has(name) || simulation.domainOf(name) !== domain)));
					const before = new Map(simulation.queues.map(({id, steward}) => [id, steward]));
					simulation.setPartition(cut, partition);
					simulation.advance(partition === SimulatedPartition.Unanswered ? unansweredTakeOverMs : takeOverMs);
					for (const {id, domain, steward} of simulation.queues) {
						t.false(cut.has(steward!), `seed ${seed}: ${id} is with ${steward}`);
						t.true(cutDomains.has(domain) || simulation.domainOf(steward!) === domain, `seed ${seed}: ${id} left ${domain}`);
						t.true(cut.has(before.get(id)!) || steward === before.get(id), `seed ${seed}: ${id} moved from ${before.get(id)} without need`);
					}

					t.false(cut.has(simulation.leaderName), `seed ${seed}: ${simulation.leaderName} leads`);
					t.deepEqual(simulation.names.filter(name => simulation.isCutOff(name) && !cut.has(name)), [], `seed ${seed}`);
					const movesAtTakeOver = [...simulation.moves.values()].reduce((sum, moves) => sum + moves, 0);
					simulation.advance(5000);
					t.is([...simulation.moves.values()].reduce((sum, moves) => sum + moves, 0), movesAtTakeOver, `seed ${seed}: queues move during the partition`);
					simulation.setPartition(cut, undefined);
					simulation.advance(recoveryMs);
					t.deepEqual(simulation.names.filter(name => simulation.isCutOff(name)), [], `seed ${seed}`);
					t.deepEqual(simulation.queues.filter(({domain, steward}) => simulation.domainOf(steward!) !== domain), [], `seed ${seed}: queues outside their domain`);
					most.push(Math.max(0, ...simulation.moves.values()));
					t.true(Math.max(0, ...simulation.moves.values()) <= maxMoves, `seed ${seed}: ${Math.max(...simulation.moves.values())} moves`);
				}

				t.log(`largest number of moves of one queue, by seed: ${most.join(', ')}`);
			});
		}
	}

	test(`${count} instances, ${Extent.All} cut off: in the end nothing has a better place`, t => {
		for (const partition of Object.values(SimulatedPartition)) {
			const simulation = new PathSimulation(size, seededRandom(count));
			simulation.setPartition(simulation.names, partition);
			simulation.advance(5000);
			t.true(simulation.queues.every(({steward}) => steward !== undefined), `partition ${partition}`);
			simulation.setPartition(simulation.names, undefined);
			simulation.advance(recoveryMs);
			t.deepEqual(simulation.queues.filter(({domain, steward}) => simulation.domainOf(steward!) !== domain), [], `partition ${partition}`);
		}
	});
}
