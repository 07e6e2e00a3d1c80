/**
 * Partitions between instances and targets beside another change: of the configuration, the leader, the store or an
 * evacuation, and partitions that change themselves. Guards against queues that stay with an instance that is cut off,
 * and against instances that count as cut off although they reach the targets.
 */
import test, {type ExecutionContext} from 'ava';
import {seededRandom} from '@bluebellyard/core';
import {PathSimulation, type SimulationSize} from '../mocks/path-simulation.js';
import {SimulatedPartition} from '../mocks/simulated-partition.js';

const domains = ['x', 'y', 'z'];

/** Sizes, with the number of seeds per case. */
const sizes: ReadonlyArray<{readonly size: SimulationSize; readonly seeds: number}> = [
	{size: {domains, instancesPerDomain: 3, targetsPerDomain: 4}, seeds: 10},
	{size: {domains, instancesPerDomain: 23, targetsPerDomain: 12}, seeds: 2},
];

/** Time from the start of a partition until all queues are with instances that reach the targets, in milliseconds. */
const takeOverMs = 3000;

/** Time from the end of a partition until all is as before, in milliseconds. */
const recoveryMs = 3000;

/** Largest number of moves of one queue while a partition comes and goes five times: as in unreachable-targets.test.ts. */
const maxMoves = 6;

/** A simulation, the instances that are cut off and what is needed to check them. */
class Play {
	readonly simulation: PathSimulation;
	readonly cut = new Set<string>();
	readonly random: () => number;
	private readonly label: string;

	constructor(private readonly t: ExecutionContext, size: SimulationSize, readonly partition: SimulatedPartition, seed: number) {
		this.random = seededRandom(seed);
		this.simulation = new PathSimulation(size, this.random);
		this.label = `${partition}, seed ${seed}`;
	}

	/** Cuts off one instance, all of a domain, or a random part of the instances, but not all. */
	cutSome(): void {
		const {simulation, random} = this;
		const kind = random();
		if (kind < 0.3) {
			this.cutOff([simulation.names[Math.floor(random() * simulation.names.length)]]);
			return;
		}

		const domain = domains[Math.floor(random() * domains.length)];
		this.cutOff(simulation.names.filter(name => kind < 0.6 ? simulation.domainOf(name) === domain : random() < 0.5).slice(0, simulation.names.length - 2));
	}

	cutOff(names: readonly string[]): void {
		for (const name of names) {
			this.cut.add(name);
		}

		this.simulation.setPartition(names, this.partition);
	}

	end(): void {
		this.simulation.setPartition([...this.cut].filter(name => this.simulation.names.includes(name)), undefined);
		this.cut.clear();
	}

	/** Checks that each queue is with a live instance that reaches the targets, and that no other one counts as cut off. */
	checkQueues(what: string): void {
		const {simulation, cut, t, label} = this;
		const reachable = new Set(simulation.names.filter(name => !cut.has(name)));
		t.deepEqual(simulation.queues.filter(({steward}) => !reachable.has(steward!)), [], `${label}, ${what}: queues with instances that are cut off or ended`);
		this.checkHealthy(what);
	}

	checkHealthy(what: string): void {
		const {simulation, cut, t, label} = this;
		t.deepEqual(simulation.names.filter(name => !cut.has(name) && simulation.isCutOff(name)), [], `${label}, ${what}: healthy instances`);
	}

	checkLeader(what: string): void {
		this.t.false(this.cut.has(this.simulation.leaderName), `${this.label}, ${what}: ${this.simulation.leaderName} leads`);
	}

	checkMoves(): void {
		const most = Math.max(0, ...this.simulation.moves.values());
		this.t.true(most <= maxMoves, `${this.label}: ${most} moves`);
	}

	/** Ends the partition and checks that all is as before. */
	checkRecovery(): void {
		const {simulation, t, label} = this;
		this.end();
		simulation.advance(recoveryMs);
		this.checkQueues('after the end');
		const populated = new Set(simulation.names.map(name => simulation.domainOf(name)));
		t.deepEqual(simulation.queues.filter(({domain, steward}) => populated.has(domain) && simulation.domainOf(steward!) !== domain), [], `${label}: queues outside their domain`);
	}
}

type PlayVariant = (play: Play, simulation: PathSimulation) => void;

function playSeeds(t: ExecutionContext, size: SimulationSize, seeds: number, play: PlayVariant): void {
	const count = size.instancesPerDomain * domains.length;
	for (const [i, partition] of Object.values(SimulatedPartition).entries()) {
		for (let n = 1; n <= seeds; n += 1) {
			const one = new Play(t, size, partition, (count * 10_007) + (i * 101) + n);
			play(one, one.simulation);
		}
	}
}

function playAll(name: string, play: PlayVariant): void {
	for (const {size, seeds} of sizes) {
		test(`${size.instancesPerDomain * domains.length} instances, ${name}`, t => {
			playSeeds(t, size, seeds, play);
		});
	}
}

playAll('the configuration changes during the partition', (play, simulation) => {
	play.cutSome();
	simulation.advance(Math.floor(play.random() * takeOverMs));
	simulation.changeConfig(domains);
	simulation.advance(takeOverMs);
	play.checkQueues('changed');
	play.checkLeader('changed');
	play.checkRecovery();
});

playAll('the store is unavailable during the partition', (play, simulation) => {
	simulation.setStoreAvailable(false);
	simulation.advance(Math.floor(play.random() * 3000));
	play.cutSome();
	simulation.advance(takeOverMs);
	play.checkQueues('without the store');
	simulation.setStoreAvailable(true);
	simulation.advance(takeOverMs);
	play.checkQueues('with the store');
	play.checkLeader('with the store');
	play.checkRecovery();
});

playAll('the leader ends during the partition', (play, simulation) => {
	play.cutSome();
	simulation.advance(Math.floor(play.random() * takeOverMs));
	simulation.endLeader();
	simulation.advance(takeOverMs + 2000);
	play.checkQueues('with another leader');
	play.checkLeader('with another leader');
	play.checkRecovery();
});

playAll('a domain is evacuated during the partition', (play, simulation) => {
	play.cutSome();
	simulation.advance(Math.floor(play.random() * takeOverMs));
	simulation.evacuate(domains[Math.floor(play.random() * domains.length)]);
	simulation.advance(takeOverMs);
	play.checkHealthy('evacuated');
	play.checkLeader('evacuated');
	play.checkRecovery();
});

playAll('instances that have just taken over are cut off as well', (play, simulation) => {
	const domain = domains[Math.floor(play.random() * domains.length)];
	const held = simulation.queues.filter(queue => queue.domain === domain);
	play.cutOff([...new Set(held.map(({steward}) => steward!))].slice(0, simulation.names.length - 1));
	simulation.advance(takeOverMs);
	const successors = simulation.queues.filter(queue => queue.domain === domain).map(({steward}) => steward!);
	const spared = simulation.names.findLast(name => !play.cut.has(name))!;
	play.cutOff([...new Set(successors)].filter(name => name !== spared));
	simulation.advance(takeOverMs);
	play.checkQueues('twice');
	play.checkLeader('twice');
	play.checkRecovery();
});

playAll('the partition comes and goes every second', (play, simulation) => {
	play.cutSome();
	const cut = [...play.cut];
	for (let i = 0; i < 5; i += 1) {
		simulation.advance(1000);
		play.checkHealthy(`${i}, partitioned`);
		simulation.setPartition(cut, undefined);
		simulation.advance(1000);
		simulation.setPartition(cut, play.partition);
	}

	play.checkRecovery();
	play.checkMoves();
});
