import {
	shardKey, type Effect, type ListedTarget, type Mutation, type Timing,
} from '@bluebellyard/core';
import {Callers} from './callers.js';
import {EventQueue} from './event-queue.js';
import {FakeLog} from './fake-log.js';
import {FakeTarget} from './fake-target.js';
import {Host} from './host.js';
import type {Surroundings} from './surroundings.js';
import {Network} from './network.js';
import {Rng} from './rng.js';
import {Site} from './site.js';
import {Invariant} from './violation.js';
import {Watcher} from './watcher.js';

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
export const maxRateError = 0.047;

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
export type Probe = {
	readonly onEffect: (host: Host, effect: Effect) => void;
	readonly onOrder: (host: Host, target: string) => void;
	readonly onSnapshot: (host: Host) => void;
	readonly onPublish: (host: Host) => void;
};

type MembershipSnapshot = {
	readonly at: number;
	readonly targets: readonly ListedTarget[];
	readonly instances: readonly string[];
};

/** A simulation of three failure domains with instances and targets, a log, callers and a membership list. */
export class World {
	readonly rng: Rng;
	readonly timing: Timing;
	readonly queue: EventQueue;
	readonly network: Network;
	readonly log = new FakeLog();
	readonly logSite: Site;
	readonly watcher: Watcher;
	readonly hosts = new Map<string, Host>();
	readonly targets = new Map<string, FakeTarget>();
	readonly callers: Callers;
	probe: Probe | undefined;
	private readonly context: Surroundings;
	private readonly membershipSnapshots: MembershipSnapshot[] = [];
	private incarnationCount = 0;
	private publicationCount = 0;

	constructor(seed: number, mutations: ReadonlySet<Mutation>, timing: Partial<Timing> = {}) {
		this.rng = new Rng(seed);
		this.timing = {...this.rng.pick([shortTiming, longLeaseTiming]), ...timing};
		this.queue = new EventQueue(this.rng.fork());
		this.network = new Network(this.queue, this.rng.fork());
		this.watcher = new Watcher(this.queue);
		this.logSite = this.createNode('log', 'platform');
		this.context = {
			network: this.network,
			log: this.log,
			logSite: this.logSite,
			watcher: this.watcher,
			timing: this.timing,
			mutations,
			hosts: this.hosts,
			targets: this.targets,
			onEffect: (host, effect) => this.probe?.onEffect(host, effect),
			onOrder: (host, target) => this.probe?.onOrder(host, target),
			onSnapshot: host => this.probe?.onSnapshot(host),
		};
		this.callers = new Callers(this.createNode('callers', 'outside'), this.context, this.rng.fork(), () => this.queue.now);
		this.log.putForeign();
		this.startAll();
	}

	/** Returns whether the newest accepted configuration is in force everywhere and no target that is out of service got an order within the last `ms`. */
	isInForce(ms: number): boolean {
		return [...this.hosts.values()].every(host => host.member?.tables.config.offset === this.watcher.configOffset)
			&& this.workingThoughOut(ms).length === 0;
	}

	/** Returns the targets that are out of service by the rules but started an order within the last `ms`. */
	workingThoughOut(ms: number): string[] {
		const outTargets = [...this.hosts.values()].flatMap(host => [...host.member?.tables.config.rules.targetsOut ?? []]);
		return outTargets.filter(target => this.watcher.isWorking(target, ms));
	}

	/** Returns whether every shard completed a request within the last `ms`. */
	isServing(ms: number): boolean {
		return this.unserved(ms).length === 0;
	}

	/** Returns the keys of the shards that completed no request within the last `ms`. */
	unserved(ms: number): string[] {
		const since = this.queue.now - ms;
		return shards.map(({pool, shard}) => shardKey(pool, shard))
			.filter(key => (this.callers.servedAt.get(key) ?? -1) < since);
	}

	/** Starts a new incarnation of an instance. An earlier one is not stopped. */
	startInstance(name: string): Host {
		this.incarnationCount += 1;
		const site = this.createNode(name, name.slice(0, 1));
		return new Host({
			name, incarnation: this.incarnationCount, site, around: this.context, rng: this.rng.fork(),
		});
	}

	/** Restarts the instances that are not running. */
	replaceLost(): void {
		for (const name of instanceNames) {
			if (this.hosts.get(name)?.site.isAlive !== true) {
				this.startInstance(name);
			}
		}
	}

	/** Adds a target to a pool. */
	addTarget(name: string, pool: string, domain: string): FakeTarget {
		const target = new FakeTarget({
			name, pool, isFenced: pool === 'checking', site: this.createNode(name, domain), rng: this.rng.fork(), watcher: this.watcher,
		});
		this.targets.set(name, target);
		return target;
	}

	/** Publishes a rules file as an operator does, at a random running instance. */
	publish(text: string): void {
		const candidates = [...this.hosts.values()].filter(host => host.site.isRunning && host.member !== undefined);
		const host = this.rng.pick(candidates);
		this.publicationCount += 1;
		const id = `operator-${this.publicationCount}`;
		this.probe?.onPublish(host);
		host.site.run(() => {
			host.publish(text, id, isAccepted => {
				if (isAccepted) {
					this.watcher.toldAccepted(id);
				}
			});
		});
	}

	/** Checks the invariants that must hold after recovery from the faults. */
	checkEnd(servedMs: number): void {
		this.watcher.checkReported();
		const unserved = this.unserved(servedMs);
		if (unserved.length > 0) {
			this.watcher.report(Invariant.Liveness, `not served: ${unserved.join(' ')}`);
		}

		for (const host of this.hosts.values()) {
			const offset = host.member?.tables.config.offset ?? 0;
			if (offset !== this.watcher.configOffset) {
				this.watcher.report(Invariant.ConfigInForce, `${host.name} has ${offset}, not ${this.watcher.configOffset}`);
			}
		}

		for (const target of this.workingThoughOut(servedMs)) {
			this.watcher.report(Invariant.OutIsOut, `${target} still receives work`);
		}
	}

	/** Truncates the log up to the newest complete snapshot, as the retention of the log service does. */
	passRetention(): void {
		this.log.truncate(this.log.newestSnapshot() + 1);
	}

	private startAll(): void {
		for (const name of instanceNames.filter(name => name !== delayedInstance)) {
			this.startInstance(name);
		}

		this.queue.after(delayedStartMs, () => {
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
			instances: [...this.hosts.values()].filter(host => host.site.isAlive).map(host => host.name),
			targets: [...this.targets.values()].map(({name, pool, domain}) => ({
				name, pool, domain, addr: name, isLeaving: false,
			})),
		});
		const visible = this.membershipSnapshots.findLast(entry => entry.at <= this.queue.now - membershipLagMs) ?? this.membershipSnapshots[0];
		for (const host of this.hosts.values()) {
			host.site.run(() => {
				host.listed(visible.targets, visible.instances);
			});
		}
	}

	private createNode(name: string, domain: string): Site {
		const site = new Site(name, domain, this.queue, this.rng.fork());
		site.setRate(1 + this.rng.between(-normalClockRateError, normalClockRateError));
		return site;
	}

	private scheduleEvery(ms: number, run: () => void): void {
		this.queue.after(ms, () => {
			run();
			this.scheduleEvery(ms, run);
		});
	}
}

const shards = ['checking', 'trusting'].flatMap(pool =>
	Array.from({length: shardsPerPool}, (_, shard) => ({pool, shard})));
