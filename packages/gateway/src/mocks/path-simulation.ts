/**
 * Instances, targets and a leader without a network: instances send requests for the queues that they are stewards of,
 * decide whether they are cut off, and report it; the leader assigns the queues.
 */
import {
	ManualClock, PathEvidence, PathMonitor, TargetPhase, type PathTarget,
} from '@bluebellyard/core';
import {CutOffInstances} from '../cluster/cut-off-instances.js';
import {LeadHandover} from '../cluster/lead-handover.js';
import {StewardAssignment} from '../cluster/steward-assignment.js';
import {Telemetry} from '../telemetry/index.js';
import {
	sharedQueueId, targetQueueId, View, type NodeInfo,
} from '../view/index.js';

/** What a partition does to connections. */
export enum SimulatedPartition {
	/** Nothing is answered. */
	Silent = 'silent',
	/** Open connections are reset, new ones refused. */
	Reset = 'reset',
	/** Open connections survive, new ones are refused. */
	Half = 'half',
}

/** Size of a simulated deployment. */
export type SimulationSize = {
	readonly domains: readonly string[];
	readonly instancesPerDomain: number;
	/** Targets of the keyed and of the shared service, each. */
	readonly targetsPerDomain: number;
};

const stepMs = 5;
const requestIntervalMs = 100;
const overdueMs = 300;
const connectTimeoutMs = 350;
const checkTimeoutMs = 250;
const publishMs = 15;
const pingIntervalMs = 600;

/** Longest way of a message between two instances, in milliseconds. */
const maxLinkMs = 20;

/** Time in which a successor becomes leader: two calls to the store, in milliseconds. */
const electionMs = 60;

/** Share of immediate reports to the leader that are lost. */
const lossShare = 0.1;

/** Share of requests for which a connection is opened. */
const newConnectionShare = 0.3;

type Instance = {
	readonly node: NodeInfo;
	readonly monitor: PathMonitor;
	partition: SimulatedPartition | undefined;
	/** Stewards and instances that are cut off as it knows them. */
	queues: string[];
	knownCutOff: ReadonlySet<string>;
	/** Decision that it reported last. */
	reported: boolean;
};

/** Simulates one deployment. `random` returns numbers from 0 to 1. */
export class PathSimulation {
	readonly clock = new ManualClock();
	readonly view = new View();
	/** Changes of the steward, by queue id. */
	readonly moves = new Map<string, number>();
	private leader: Instance;
	private readonly instances = new Map<string, Instance>();
	private readonly stewards: StewardAssignment;
	private readonly cutOff: CutOffInstances;
	private readonly handovers = new Map<string, LeadHandover>();
	private events: Array<{readonly at: number; readonly run: () => void}> = [];
	private isPublishing = false;

	constructor({domains, instancesPerDomain, targetsPerDomain}: SimulationSize, private readonly random: () => number) {
		const {view, clock} = this;
		const telemetry = new Telemetry(clock);
		view.store.set('service/keyed', {name: 'keyed', isSharded: true, coldRate: 5});
		view.store.set('service/shared', {name: 'shared', isSharded: false, coldRate: 5});
		for (const domain of domains) {
			for (let i = 0; i < targetsPerDomain; i += 1) {
				this.addTarget(`k-${domain}${i}`, 'keyed', domain);
				this.addTarget(`s-${domain}${i}`, 'shared', domain);
			}

			for (let i = 0; i < instancesPerDomain; i += 1) {
				this.addInstance(`${domain}${i}`, domain, telemetry);
			}
		}

		const nodes = [...this.instances.values()].map(({node}) => node);
		this.leader = this.instances.get(nodes[Math.floor(random() * nodes.length)].name)!;
		this.stewards = new StewardAssignment({
			view, reader: {remainingColdMs: () => 0}, delayMs: () => 0, liveNodes: () => nodes,
		});
		this.cutOff = new CutOffInstances({
			view, clock, telemetry, onChange: () => {
				this.schedulePublish();
			},
		});
		this.schedulePublish();
		this.advance(1000);
		this.moves.clear();
	}

	/** Names of all instances. */
	get names(): string[] {
		return [...this.instances.keys()];
	}

	/** Name of the leader. */
	get leaderName(): string {
		return this.leader.node.name;
	}

	/** Ids and failure domains of all queues, with their stewards. */
	get queues(): Array<{id: string; domain: string; steward: string | undefined}> {
		const domains = new Map([...this.view.targets.values()].map(({id, service, domain}) => [service === 'keyed' ? targetQueueId(id) : sharedQueueId(service, domain), domain]));
		return [...domains].map(([id, domain]) => ({id, domain, steward: this.view.findSteward(id)}));
	}

	/** Returns the failure domain of an instance. */
	domainOf(name: string): string {
		return this.instances.get(name)!.node.domain;
	}

	/** Returns whether an instance finds itself cut off. */
	isCutOff(name: string): boolean {
		return this.instances.get(name)!.monitor.isCutOff;
	}

	/** Begins a partition of instances, or ends it if `partition` is undefined. */
	setPartition(names: Iterable<string>, partition: SimulatedPartition | undefined): void {
		for (const name of names) {
			this.instances.get(name)!.partition = partition;
		}
	}

	/** Advances the time. */
	advance(ms: number): void {
		for (let i = 0; i < ms / stepMs; i += 1) {
			this.step(this.clock.now());
			this.clock.advance(stepMs);
		}
	}

	private step(now: number): void {
		this.runEvents();
		for (const instance of this.instances.values()) {
			this.stepInstance(instance, now);
		}

		if (now % pingIntervalMs === 0) {
			this.sendPings();
		}

		const {node} = this.leader;
		this.cutOff.record(node.name, this.leader.monitor.isCutOff);
		this.handovers.get(node.name)!.tick({
			leadership: {era: 1, term: 1}, isRecovering: false, storeAgeMs: 0, settleMoves: () => true, followers: {liveNodes: () => this.allNodes()},
		}, now);
	}

	private allNodes(): NodeInfo[] {
		return [...this.instances.values()].map(({node}) => node);
	}

	private addTarget(id: string, service: string, domain: string): void {
		this.view.store.set(`target/${id}`, {
			id, name: id, service, addr: id, domain, slots: 2, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
		});
	}

	private addInstance(name: string, domain: string, telemetry: Telemetry): void {
		const node: NodeInfo = {
			name, domain, incarnation: name, addr: name, cores: 1,
		};
		this.view.store.set(`node/${name}`, node);
		const targets = (): PathTarget[] => [...this.view.targets.values()];
		this.instances.set(name, {
			node, monitor: new PathMonitor({targets, random: this.random}), partition: undefined, queues: [], knownCutOff: new Set(), reported: false,
		});
		this.handovers.set(name, new LeadHandover({
			self: node, view: this.view, telemetry, random: this.random, net: {
				call: async addr => {
					this.schedule(this.linkMs() + electionMs, () => {
						this.leader = this.instances.get(addr)!;
					});
					return true;
				},
			},
		}));
	}

	private stepInstance(instance: Instance, now: number): void {
		const {monitor} = instance;
		if (now % requestIntervalMs === 0) {
			for (const queue of instance.queues) {
				this.sendRequest(instance, this.selectTarget(queue));
			}
		}

		for (const target of monitor.startRound(now)) {
			const isConnected = instance.partition === undefined;
			const tookMs = instance.partition === SimulatedPartition.Silent ? checkTimeoutMs : this.linkMs();
			this.schedule(tookMs, () => {
				monitor.recordCheck(target, isConnected, this.clock.now());
			});
		}

		if (monitor.isCutOff !== instance.reported) {
			instance.reported = monitor.isCutOff;
			if (this.random() >= lossShare) {
				this.report(instance);
			}
		}
	}

	private sendRequest({monitor, partition}: Instance, target: string): void {
		const isNew = this.random() < newConnectionShare;
		const fail = (ms: number, evidence: PathEvidence) => {
			this.schedule(ms, () => {
				monitor.recordFailure(target, evidence, this.clock.now());
			});
		};

		switch (partition) {
			case SimulatedPartition.Silent: {
				fail(isNew ? connectTimeoutMs : overdueMs, isNew ? PathEvidence.ConnectTimeout : PathEvidence.Overdue);
				break;
			}

			case SimulatedPartition.Reset: {
				fail(this.linkMs(), isNew ? PathEvidence.ConnectFailed : PathEvidence.Reset);
				break;
			}

			case SimulatedPartition.Half:
			case undefined: {
				if (partition === SimulatedPartition.Half && isNew) {
					fail(this.linkMs(), PathEvidence.ConnectFailed);
					break;
				}

				const connectedAt = isNew ? this.clock.now() : 0;
				this.schedule(this.linkMs(), () => {
					monitor.recordResponse(target, connectedAt, this.clock.now());
				});
			}
		}
	}

	private selectTarget(queue: string): string {
		const candidates = [...this.view.targets.values()].filter(({id, service, domain}) => queue === targetQueueId(id) || queue === sharedQueueId(service, domain));
		return candidates[Math.floor(this.random() * candidates.length)].id;
	}

	private report({node, monitor}: Instance): void {
		const {isCutOff} = monitor;
		this.schedule(this.linkMs(), () => {
			this.cutOff.record(node.name, isCutOff);
		});
	}

	private sendPings(): void {
		for (const instance of this.instances.values()) {
			this.schedule(this.linkMs(), () => {
				this.report(instance);
			});
		}
	}

	private schedulePublish(): void {
		if (this.isPublishing) {
			return;
		}

		this.isPublishing = true;
		this.schedule(publishMs, () => {
			this.isPublishing = false;
			this.publish();
		});
	}

	private publish(): void {
		const before = new Map(this.queues.map(({id, steward}) => [id, steward]));
		this.stewards.update(this.clock.now());
		const stewards = this.queues;
		for (const {id, steward} of stewards) {
			if (before.get(id) !== steward) {
				this.moves.set(id, (this.moves.get(id) ?? 0) + 1);
			}
		}

		const cutOff = this.view.cutOffInstances;
		for (const instance of this.instances.values()) {
			const queues = stewards.filter(({steward}) => steward === instance.node.name).map(({id}) => id);
			this.schedule(this.linkMs(), () => {
				this.applyView(instance, queues, cutOff);
			});
		}
	}

	private applyView(instance: Instance, queues: string[], cutOff: ReadonlySet<string>): void {
		const hasNew = [...cutOff].some(name => name !== instance.node.name && !instance.knownCutOff.has(name));
		instance.queues = queues;
		instance.knownCutOff = cutOff;
		if (hasNew && !instance.monitor.isCutOff) {
			instance.monitor.recordAlarm(this.clock.now());
		}
	}

	private linkMs(): number {
		return this.random() * maxLinkMs;
	}

	private schedule(inMs: number, run: () => void): void {
		this.events.push({at: this.clock.now() + inMs, run});
	}

	private runEvents(): void {
		const now = this.clock.now();
		const due = this.events.filter(({at}) => at <= now).toSorted((a, b) => a.at - b.at);
		this.events = this.events.filter(({at}) => at > now);
		for (const {run} of due) {
			run();
		}
	}
}
