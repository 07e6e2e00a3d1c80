import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {
	ManualClock, seededRandom, systemClock, type TargetInfo,
} from '@bluebellyard/core';
import {Coordinator, type PeerOp} from '../cluster/index.js';
import {sleep} from '../net/index.js';
import type {Message, PeerNet} from '../peers/index.js';
import {
	KeyedLog, type AppendedRecord, type KeyedListing, type OperatorEntry, type TopicEnd,
} from '../ports/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View, type NodeInfo} from '../view/index.js';
import {createConfig} from './create-config.js';
import {FakeTargetControl} from './fake-target-control.js';
import {MemoryLog} from './memory-log.js';
import {SharedTopic, StoreLink} from './shared-topic.js';

/** Time without an answer after which a call of the store fails, in milliseconds. */
const storeTimeoutMs = 750;

/** Time from a call between instances until it arrives, and from the answer until it does, in milliseconds. */
const delayMs = 1;

/** Timeout of calls that state none, in milliseconds. */
const defaultTimeoutMs = 1000;

const domains = ['x', 'y', 'z'];

/** Cores below which an instance counts as short of CPU time. */
const minStewardCores = 0.3;

/** One instance: its membership and its view. */
export type ClusterInstance = {
	readonly self: NodeInfo;
	readonly view: View;
	readonly coordinator: Coordinator;
	readonly link: StoreLink;
	readonly telemetry: Telemetry;
};

class LinkedLog extends KeyedLog {
	constructor(private readonly log: MemoryLog, private readonly link: StoreLink) {
		super();
	}

	override get newestEra(): number {
		return this.log.newestEra;
	}

	override async list(topic: string): Promise<KeyedListing> {
		return this.link.call(storeTimeoutMs, async () => this.log.list(topic));
	}

	override async end(topic: string): Promise<TopicEnd> {
		return this.link.call(storeTimeoutMs, async () => this.log.end(topic));
	}

	override async append(topic: string, key: string, value: string, at?: number): Promise<AppendedRecord> {
		return this.link.call(storeTimeoutMs, async () => this.log.append(topic, key, value, at));
	}
}

/** Instances in three failure domains that elect a leader, with a store and links in memory. Runs in real time. */
export class CoordinatorCluster {
	readonly instances: ClusterInstance[] = [];
	readonly operators = new SharedTopic<OperatorEntry>();
	readonly targets = new SharedTopic<TargetInfo>();
	private readonly log = new MemoryLog();
	private readonly random: () => number;
	private readonly ended = new Set<string>();
	/** Names of instances with a cut link between them, sender first. */
	private readonly cutPairs = new Set<string>();

	/** `seed` determines the delays of elections; `cores` are those of the instances, in turn. */
	constructor(count: number, seed: number, private readonly cores: readonly number[] = [1]) {
		this.random = seededRandom(seed);
		this.publish(1);
		for (let i = 0; i < count; i += 1) {
			this.instances.push(this.create(i));
		}
	}

	/** Starts the instances; resolves when all follow a leader and have the configuration. */
	async start(): Promise<void> {
		for (const {coordinator} of this.instances) {
			coordinator.start();
		}

		await this.until(() => this.instances.some(({coordinator}) => coordinator.isLeader)
			&& this.instances.every(({view, coordinator}) => view.configVersion === 1 && coordinator.leadership.term > 0
				&& view.nodes().length === this.instances.length && view.targets.size === this.targets.size));
	}

	/** The instance that leads. */
	get leader(): ClusterInstance {
		return this.running.find(({coordinator}) => coordinator.isLeader)!;
	}

	/** The instances that have not ended. */
	get running(): ClusterInstance[] {
		return this.instances.filter(({self}) => !this.ended.has(self.name));
	}

	/** Publishes a configuration as operators do. It has a route of its own, so that a mixed one is found. */
	publish(version: number): void {
		const {routes: [route, ...others], ...config} = createConfig(version);
		const own = {...route, name: `v${version}`, prefix: `/v${version}/`};
		this.operators.put('config', {kind: 'config', config: {...config, routes: [route, ...others, own]}});
	}

	/** Cuts the links between all pairs of instances for which the function returns true, in both directions. */
	cut(isCut: (a: NodeInfo, b: NodeInfo) => boolean): void {
		const nodes = this.instances.map(({self}) => self);
		const pairs = nodes.flatMap(a => nodes.filter(b => isCut(a, b)).map(b => [a, b]));
		for (const [a, b] of pairs) {
			this.cutPairs.add(`${a.name} ${b.name}`).add(`${b.name} ${a.name}`);
		}
	}

	/** Restores all links between instances. */
	heal(): void {
		this.cutPairs.clear();
	}

	/** Ends an instance without a farewell. */
	kill({self, coordinator}: ClusterInstance): void {
		this.ended.add(self.name);
		coordinator.stop();
	}

	/** Publishes a configuration; resolves to the time until all given instances have it, in milliseconds. */
	async measure(version: number, observed: readonly ClusterInstance[]): Promise<number> {
		return this.measureChange(() => {
			this.publish(version);
		}, () => observed.every(({view}) => view.configVersion === version));
	}

	/** Changes something in the store; resolves to the time until a condition is met, in milliseconds. */
	async measureChange(change: () => void, condition: () => boolean): Promise<number> {
		const changedAt = performance.now();
		change();
		await this.until(condition);
		return performance.now() - changedAt;
	}

	/** Ends all instances. */
	stop(): void {
		for (const instance of this.instances) {
			this.kill(instance);
		}
	}

	private async until(condition: () => boolean): Promise<void> {
		for (let i = 0; i < 2000 && !condition(); i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(5);
		}

		if (!condition()) {
			throw new Error('condition not met after 2000 polls, 5 ms apart');
		}
	}

	private create(index: number): ClusterInstance {
		const name = `e${index}`;
		const self: NodeInfo = {
			name, incarnation: `${name}-1`, domain: domains[index % domains.length], addr: name, cores: this.cores[index % this.cores.length],
		};
		const view = new View();
		const link = new StoreLink();
		const telemetry = new Telemetry(systemClock);
		const net: Pick<PeerNet, 'call' | 'exchange'> = {
			call: async (addr, op, value, options) => {
				const reply = await this.exchange(self, {
					addr, op, message: {value, bytes: Buffer.alloc(0)}, timeoutMs: options?.timeoutMs,
				});
				return reply.value;
			},
			exchange: async (addr, op, message, options) => this.exchange(self, {
				addr, op, message, timeoutMs: options?.timeoutMs,
			}),
		};
		const coordinator = new Coordinator({
			self,
			view,
			net: net as PeerNet,
			log: new LinkedLog(this.log, link),
			operators: this.operators.open(link),
			targets: this.targets.open(link),
			control: new FakeTargetControl(new ManualClock()),
			clock: systemClock,
			telemetry,
			timing: {leaseMs: 6000, transitMs: 500},
			minStewardCores,
			usesContactBound: false,
			heartbeatMs: 1000,
			random: this.random,
			report: () => ({keys: {}, slowness: [], isLeaving: false}),
		});
		return {
			self, view, coordinator, link, telemetry,
		};
	}

	private async exchange(from: NodeInfo, {addr, op, message, timeoutMs = defaultTimeoutMs}: {addr: string; op: string; message: Message; timeoutMs?: number}): Promise<Message> {
		const end = performance.now() + timeoutMs;
		const to = this.instances.find(({self}) => self.addr === addr)!;
		const names = [from.name, to.self.name];
		const isLost = () => names.some(name => this.ended.has(name)) || this.cutPairs.has(names.join(' '));
		await sleep(delayMs);
		const value = isLost() ? undefined : to.coordinator.handle(op as PeerOp, message);
		await sleep(delayMs);
		if (isLost()) {
			await sleep(Math.max(0, end - performance.now()));
			throw new Error(`no answer of ${addr} within ${timeoutMs} ms`);
		}

		return {value, bytes: Buffer.alloc(0)};
	}
}
