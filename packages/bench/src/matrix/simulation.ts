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

/** Protocol timing in the simulation. The drift is large so that the margins for it matter. */
const shortTiming: Timing = {
	heartbeatMs: 100,
	suspectMs: 300,
	rightMs: 300,
	isolationMs: 1500,
	leaseMs: 500,
	drift: 0.1,
};

/** Protocol timing in which the leases of targets last longer than their steward's right to act. */
const longLeaseTiming: Timing = {...shortTiming, leaseMs: 1500};

/** Largest rate error of one clock. Two clocks with opposite errors differ by less than the configured drift. */
export const maxClockRateError = 0.047;

const normalClockRateError = 0.004;
const requestIntervalMs = 9;
const membershipIntervalMs = 200;
/** Delay until the membership list shows a change. */
const membershipLagMs = 1500;

/** Number of shards of each pool. */
export const shardsPerPool = 6;

/** Rules file that every simulation starts with. */
export const baseRules = `pool checking keyed shards=${shardsPerPool} fenced=yes # matrix
pool trusting keyed shards=${shardsPerPool} fenced=no # matrix
`;

const instanceNames = ['a1', 'a2', 'a3', 'b1', 'b2', 'c1', 'c2'];
const domains = ['a', 'b', 'c'];
/** Instance that starts later than the others and joins before the membership list shows it. */
const delayedInstance = 'a3';
const delayedStartMs = 1200;

/** Hooks into a simulation; used to detect when a step happens. */
export type SimulationProbe = {
	readonly onEffect: (instance: SimulatedInstance, effect: Effect) => void;
	readonly onOrder: (instance: SimulatedInstance, target: string) => void;
	readonly onSnapshot: (instance: SimulatedInstance) => void;
	readonly onPublish: (instance: SimulatedInstance) => void;
};

type MembershipSnapshot = {
	readonly at: number;
	readonly targets: readonly ListedTarget[];
	readonly instances: readonly string[];
};

/** A simulation of three failure domains with instances and targets, a log, callers and a membership list. */
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
	private readonly context: SimulationContext;
	private readonly membershipSnapshots: MembershipSnapshot[] = [];
	private incarnationCount = 0;
	private publicationCount = 0;

	constructor(seed: number, mutations: ReadonlySet<Mutation>, timing: Partial<Timing> = {}) {
		this.rng = new Rng(seed);
		this.timing = {...this.rng.pick([shortTiming, longLeaseTiming]), ...timing};
		this.queue = new EventQueue(this.rng.fork());
		this.network = new Network(this.queue, this.rng.fork());
		this.checker = new InvariantChecker(this.queue);
		this.logNode = this.createNode('log', 'platform');
		this.context = {
			network: this.network,
			log: this.log,
			logNode: this.logNode,
			checker: this.checker,
			timing: this.timing,
			mutations,
			instances: this.instances,
			targets: this.targets,
			onEffect: (instance, effect) => this.probe?.onEffect(instance, effect),
			onOrder: (instance, target) => this.probe?.onOrder(instance, target),
			onSnapshot: instance => this.probe?.onSnapshot(instance),
		};
		this.callers = new Callers(this.createNode('callers', 'outside'), this.context, this.rng.fork(), () => this.queue.now);
		this.log.appendForeignRecords();
		this.startAll();
	}

	/** Returns whether the newest accepted configuration is in force everywhere and no target that is out of service got an order within the last `ms`. */
	isConfigInForce(ms: number): boolean {
		return [...this.instances.values()].every(instance => instance.member?.tables.config.offset === this.checker.configOffset)
			&& this.findDrainedTargetsWithWork(ms).length === 0;
	}

	/** Returns the targets that are out of service by the rules but started an order within the last `ms`. */
	findDrainedTargetsWithWork(ms: number): string[] {
		const outTargets = [...this.instances.values()].flatMap(instance => [...instance.member?.tables.config.rules.targetsOut ?? []]);
		return outTargets.filter(target => this.checker.hasRecentWork(target, ms));
	}

	/** Returns whether every shard completed a request within the last `ms`. */
	isEveryShardServed(ms: number): boolean {
		return this.findUnservedShards(ms).length === 0;
	}

	/** Returns the keys of the shards that completed no request within the last `ms`. */
	findUnservedShards(ms: number): string[] {
		const since = this.queue.now - ms;
		return shards.map(({pool, shard}) => shardKey(pool, shard))
			.filter(key => (this.callers.servedAt.get(key) ?? -1) < since);
	}

	/** Starts a new incarnation of an instance. An earlier one is not stopped. */
	startInstance(name: string): SimulatedInstance {
		this.incarnationCount += 1;
		const node = this.createNode(name, name.slice(0, 1));
		return new SimulatedInstance({
			name, incarnation: this.incarnationCount, node, context: this.context, rng: this.rng.fork(),
		});
	}

	/** Restarts the instances that are not running. */
	restartLostInstances(): void {
		for (const name of instanceNames) {
			if (this.instances.get(name)?.node.isAlive !== true) {
				this.startInstance(name);
			}
		}
	}

	/** Adds a target to a pool. */
	addTarget(name: string, pool: string, domain: string): FakeTarget {
		const target = new FakeTarget({
			name, pool, isFenced: pool === 'checking', node: this.createNode(name, domain), rng: this.rng.fork(), checker: this.checker,
		});
		this.targets.set(name, target);
		return target;
	}

	/** Publishes a rules file as an operator does, at a random running instance. */
	publishRules(text: string): void {
		const candidates = [...this.instances.values()].filter(instance => instance.node.isRunning && instance.member !== undefined);
		const instance = this.rng.pick(candidates);
		this.publicationCount += 1;
		const id = `operator-${this.publicationCount}`;
		this.probe?.onPublish(instance);
		instance.node.run(() => {
			instance.publishRules(text, id, isAccepted => {
				if (isAccepted) {
					this.checker.recordAcceptance(id);
				}
			});
		});
	}

	/** Checks the invariants that must hold after recovery from the faults. */
	checkFinalState(servedMs: number): void {
		this.checker.checkAcceptances();
		const unserved = this.findUnservedShards(servedMs);
		if (unserved.length > 0) {
			this.checker.recordViolation(Invariant.Liveness, `not served: ${unserved.join(' ')}`);
		}

		for (const instance of this.instances.values()) {
			const offset = instance.member?.tables.config.offset ?? 0;
			if (offset !== this.checker.configOffset) {
				this.checker.recordViolation(Invariant.ConfigInForce, `${instance.name} has ${offset}, not ${this.checker.configOffset}`);
			}
		}

		for (const target of this.findDrainedTargetsWithWork(servedMs)) {
			this.checker.recordViolation(Invariant.OutIsOut, `${target} still receives work`);
		}
	}

	/** Truncates the log up to the newest complete snapshot, as the retention of the log service does. */
	truncateLog(): void {
		this.log.truncate(this.log.findNewestSnapshotOffset() + 1);
	}

	private startAll(): void {
		for (const name of instanceNames.filter(name => name !== delayedInstance)) {
			this.startInstance(name);
		}

		this.queue.schedule(delayedStartMs, () => {
			this.startInstance(delayedInstance);
		});

		for (const domain of domains) {
			this.addTarget(`${domain}-checking`, 'checking', domain);
			this.addTarget(`${domain}-trusting`, 'trusting', domain);
		}

		this.scheduleEvery(membershipIntervalMs, () => {
			this.updateMembershipList();
		});
		this.scheduleEvery(requestIntervalMs, () => {
			const {pool, shard} = this.rng.pick(shards);
			this.callers.send(pool, shard);
		});
	}

	private updateMembershipList(): void {
		this.membershipSnapshots.push({
			at: this.queue.now,
			instances: [...this.instances.values()].filter(instance => instance.node.isAlive).map(instance => instance.name),
			targets: [...this.targets.values()].map(({name, pool, domain}) => ({
				name, pool, domain, addr: name, isLeaving: false,
			})),
		});
		const visible = this.membershipSnapshots.findLast(entry => entry.at <= this.queue.now - membershipLagMs) ?? this.membershipSnapshots[0];
		for (const instance of this.instances.values()) {
			instance.node.run(() => {
				instance.handleMembershipList(visible.targets, visible.instances);
			});
		}
	}

	private createNode(name: string, domain: string): SimulatedNode {
		const node = new SimulatedNode(name, domain, this.queue, this.rng.fork());
		node.setClockRate(1 + this.rng.between(-normalClockRateError, normalClockRateError));
		return node;
	}

	private scheduleEvery(ms: number, run: () => void): void {
		this.queue.schedule(ms, () => {
			run();
			this.scheduleEvery(ms, run);
		});
	}
}

const shards = ['checking', 'trusting'].flatMap(pool =>
	Array.from({length: shardsPerPool}, (_, shard) => ({pool, shard})));
