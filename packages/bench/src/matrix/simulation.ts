import {
	shardKey, type Effect, type ListedTarget, type Mutation, type Timing,
} from '@bluebellyard/core';
import {Callers} from './callers.js';
import {EventQueue} from './event-queue.js';
import {FakeLog} from './fake-log.js';
import {FakeTarget} from './fake-target.js';
import {SimulatedInstance} from './simulated-instance.js';
import type {SimulationContext} from './simulation-context.js';
import {Network} from './network.js';
import {Rng} from './rng.js';
import {SimulatedNode} from './simulated-node.js';
import {Invariant} from './violation.js';
import {InvariantChecker} from './invariant-checker.js';

/** Timing of the protocol in the matrix; the drift is large so that its margins matter. */
const shortTiming: Timing = {
	heartbeatMs: 100,
	suspectMs: 300,
	rightMs: 300,
	isolationMs: 1500,
	leaseMs: 500,
	drift: 0.1,
};

/** Timing with leases that outlast the right of their steward. */
const longLeaseTiming: Timing = {...shortTiming, leaseMs: 1500};

/** Largest error of the rate of one clock: two clocks differ by less than the stated drift. */
export const maxClockRateError = 0.047;

const commonRateError = 0.004;
const requestEveryMs = 9;
const listEveryMs = 200;
/** Age of what the membership list shows. */
const listLagMs = 1500;

/** Number of shards of each pool. */
export const shardsPerPool = 6;

/** Rules of a cell. */
export const baseRules = `pool checking keyed shards=${shardsPerPool} fenced=yes # matrix
pool trusting keyed shards=${shardsPerPool} fenced=no # matrix
`;

const instanceNames = ['a1', 'a2', 'a3', 'b1', 'b2', 'c1', 'c2'];
const domains = ['a', 'b', 'c'];
/** Instance that joins while the membership list does not show it yet. */
const lateInstance = 'a3';
const lateMs = 1200;

/** Sees what happens in a world; used to find the moment of a step. */
export type SimulationProbe = {
	readonly onEffect: (host: SimulatedInstance, effect: Effect) => void;
	readonly onOrder: (host: SimulatedInstance, target: string) => void;
	readonly onSnapshot: (host: SimulatedInstance) => void;
	readonly onPublish: (host: SimulatedInstance) => void;
};

type ListEntry = {
	readonly at: number;
	readonly targets: readonly ListedTarget[];
	readonly instances: readonly string[];
};

/** Three failure domains with instances and targets, a log, callers and a membership list. */
export class Simulation {
	readonly rng: Rng;
	readonly timing: Timing;
	readonly queue: EventQueue;
	readonly network: Network;
	readonly log = new FakeLog();
	readonly logNode: SimulatedNode;
	readonly checker: InvariantChecker;
	readonly instances = new Map<string, SimulatedInstance>();
	readonly targets = new Map<string, FakeTarget>();
	readonly callers: Callers;
	probe: SimulationProbe | undefined;
	private readonly around: SimulationContext;
	private readonly list: ListEntry[] = [];
	private lives = 0;
	private publications = 0;

	constructor(seed: number, mutations: ReadonlySet<Mutation>, timing: Partial<Timing> = {}) {
		this.rng = new Rng(seed);
		this.timing = {...this.rng.pick([shortTiming, longLeaseTiming]), ...timing};
		this.queue = new EventQueue(this.rng.fork());
		this.network = new Network(this.queue, this.rng.fork());
		this.checker = new InvariantChecker(this.queue);
		this.logNode = this.newSite('log', 'platform');
		this.around = {
			network: this.network,
			log: this.log,
			logNode: this.logNode,
			checker: this.checker,
			timing: this.timing,
			mutations,
			instances: this.instances,
			targets: this.targets,
			onEffect: (host, effect) => this.probe?.onEffect(host, effect),
			onOrder: (host, target) => this.probe?.onOrder(host, target),
			onSnapshot: host => this.probe?.onSnapshot(host),
		};
		this.callers = new Callers(this.newSite('callers', 'outside'), this.around, this.rng.fork(), () => this.queue.now);
		this.log.appendForeignRecords();
		this.startAll();
	}

	/** Whether the newest accepted configuration is in force everywhere. */
	isConfigInForce(ms: number): boolean {
		return [...this.instances.values()].every(host => host.member?.tables.config.offset === this.checker.configOffset)
			&& this.findDrainedTargetsWithWork(ms).length === 0;
	}

	/** Targets that are taken out and received work within the last `ms`. */
	findDrainedTargetsWithWork(ms: number): string[] {
		const out = [...this.instances.values()].flatMap(host => [...host.member?.tables.config.rules.targetsOut ?? []]);
		return out.filter(target => this.checker.hasRecentWork(target, ms));
	}

	/** Whether every shard is owned and was served within the last `ms`. */
	isEveryShardServed(ms: number): boolean {
		return this.findUnservedShards(ms).length === 0;
	}

	/** Shards that were not served within the last `ms`. */
	findUnservedShards(ms: number): string[] {
		const since = this.queue.now - ms;
		return shards.map(({pool, shard}) => shardKey(pool, shard))
			.filter(key => (this.callers.servedAt.get(key) ?? -1) < since);
	}

	/** Starts a process life of an instance; one that is already there is left alone. */
	startInstance(name: string): SimulatedInstance {
		this.lives += 1;
		const site = this.newSite(name, name.slice(0, 1));
		return new SimulatedInstance({
			name, incarnation: this.lives, node: site, context: this.around, rng: this.rng.fork(),
		});
	}

	/** Starts again the instances that are not there. */
	restartLostInstances(): void {
		for (const name of instanceNames) {
			if (this.instances.get(name)?.node.isAlive !== true) {
				this.startInstance(name);
			}
		}
	}

	/** Adds a target of a pool. */
	addTarget(name: string, pool: string, domain: string): FakeTarget {
		const target = new FakeTarget({
			name, pool, isFenced: pool === 'checking', node: this.newSite(name, domain), rng: this.rng.fork(), checker: this.checker,
		});
		this.targets.set(name, target);
		return target;
	}

	/** An operator publishes a rules file at some instance. */
	publishRules(text: string): void {
		const ready = [...this.instances.values()].filter(host => host.node.isRunning && host.member !== undefined);
		const host = this.rng.pick(ready);
		this.publications += 1;
		const id = `operator-${this.publications}`;
		this.probe?.onPublish(host);
		host.node.run(() => {
			host.publishRules(text, id, isAccepted => {
				if (isAccepted) {
					this.checker.recordAcceptance(id);
				}
			});
		});
	}

	/** Checks what must hold once the faults are long over. */
	checkFinalState(servedMs: number): void {
		this.checker.checkAcceptances();
		const unserved = this.findUnservedShards(servedMs);
		if (unserved.length > 0) {
			this.checker.recordViolation(Invariant.Liveness, `not served: ${unserved.join(' ')}`);
		}

		for (const host of this.instances.values()) {
			const offset = host.member?.tables.config.offset ?? 0;
			if (offset !== this.checker.configOffset) {
				this.checker.recordViolation(Invariant.ConfigInForce, `${host.name} has ${offset}, not ${this.checker.configOffset}`);
			}
		}

		for (const target of this.findDrainedTargetsWithWork(servedMs)) {
			this.checker.recordViolation(Invariant.OutIsOut, `${target} still receives work`);
		}
	}

	/** Drops the records that the newest snapshot makes needless. */
	truncateLog(): void {
		this.log.truncate(this.log.findNewestSnapshotOffset() + 1);
	}

	private startAll(): void {
		for (const name of instanceNames.filter(name => name !== lateInstance)) {
			this.startInstance(name);
		}

		this.queue.schedule(lateMs, () => {
			this.startInstance(lateInstance);
		});

		for (const domain of domains) {
			this.addTarget(`${domain}-checking`, 'checking', domain);
			this.addTarget(`${domain}-trusting`, 'trusting', domain);
		}

		this.every(listEveryMs, () => {
			this.updateList();
		});
		this.every(requestEveryMs, () => {
			const {pool, shard} = this.rng.pick(shards);
			this.callers.send(pool, shard);
		});
	}

	private updateList(): void {
		this.list.push({
			at: this.queue.now,
			instances: [...this.instances.values()].filter(host => host.node.isAlive).map(host => host.name),
			targets: [...this.targets.values()].map(({name, pool, domain}) => ({
				name, pool, domain, addr: name, isLeaving: false,
			})),
		});
		const shown = this.list.findLast(entry => entry.at <= this.queue.now - listLagMs) ?? this.list[0];
		for (const host of this.instances.values()) {
			host.node.run(() => {
				host.handleMembershipList(shown.targets, shown.instances);
			});
		}
	}

	private newSite(name: string, domain: string): SimulatedNode {
		const site = new SimulatedNode(name, domain, this.queue, this.rng.fork());
		site.setClockRate(1 + this.rng.between(-commonRateError, commonRateError));
		return site;
	}

	private every(ms: number, run: () => void): void {
		this.queue.schedule(ms, () => {
			run();
			this.every(ms, run);
		});
	}
}

const shards = ['checking', 'trusting'].flatMap(pool =>
	Array.from({length: shardsPerPool}, (_, shard) => ({pool, shard})));
