/**
 * Instances, targets and a leader without a network: instances send requests for the queues that they are stewards of,
 * decide whether they are cut off, and report it; the leader assigns the queues.
 */
import {
	CheckKind, ManualClock, PathEvidence, PathMonitor, TargetPhase, type PathTarget,
} from '@bluebellyard/core';
import {CutOffInstances} from '../cluster/cut-off-instances.js';
import {LeadHandover} from '../cluster/lead-handover.js';
import {StewardAssignment} from '../cluster/steward-assignment.js';
import {Telemetry} from '../telemetry/index.js';
import {
	sharedQueueId, targetQueueId, View, type NodeInfo,
} from '../view/index.js';
import {SimulatedPartition} from './simulated-partition.js';

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
const publishMs = 15;
const pingIntervalMs = 600;

/** Longest way of a message between two instances, in milliseconds. */
const maxLinkMs = 20;

/** Time in which a successor becomes leader: two calls to the store, in milliseconds. */
const electionMs = 60;

/** Time from the end of a leader until another one leads, in milliseconds. */
const leaderLossMs = 1300;

/** Expected run time of a request, in milliseconds. */
const expectedMs = 20;

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
	private stewards: StewardAssignment;
	private cutOff: CutOffInstances;
	private readonly handovers = new Map<string, LeadHandover>();
	private events: Array<{readonly at: number; readonly run: () => void}> = [];
	private isPublishing = false;
	private hasLeader = true;
	/** When the store became unavailable; undefined while it is available. */
	private storeLostAt: number | undefined;
	private readonly telemetry = new Telemetry(this.clock);

	constructor({domains, instancesPerDomain, targetsPerDomain}: SimulationSize, private readonly random: () => number) {
		const {view} = this;
		view.store.set('service/keyed', {name: 'keyed', isSharded: true, coldRate: 5});
		view.store.set('service/shared', {name: 'shared', isSharded: false, coldRate: 5});
		for (const domain of domains) {
			for (let i = 0; i < targetsPerDomain; i += 1) {
				this.addTarget(`k-${domain}${i}`, 'keyed', domain);
				this.addTarget(`s-${domain}${i}`, 'shared', domain);
			}

			for (let i = 0; i < instancesPerDomain; i += 1) {
				this.addInstance(`${domain}${i}`, domain);
			}
		}

		const nodes = this.allNodes();
		this.leader = this.instances.get(nodes[Math.floor(random() * nodes.length)].name)!;
		this.stewards = this.createAssignment();
		this.cutOff = this.createCutOffInstances();
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

	/** Makes the store unavailable, or available again. */
	setStoreAvailable(isAvailable: boolean): void {
		this.storeLostAt = isAvailable ? undefined : this.clock.now();
	}

	/** Ends the leader. Another instance, which may be cut off, leads soon after. */
	endLeader(): void {
		const {name} = this.leader.node;
		this.instances.delete(name);
		this.view.store.remove(`node/${name}`);
		this.hasLeader = false;
		this.schedule(leaderLossMs, () => {
			const {names} = this;
			this.leader = this.instances.get(names[Math.floor(this.random() * names.length)])!;
			this.hasLeader = true;
			this.stewards = this.createAssignment();
			this.cutOff = this.createCutOffInstances();
			this.schedulePublish();
		});
	}

	/** Evacuates a failure domain: its targets receive no work. */
	evacuate(domain: string): void {
		this.view.store.set(`evacuated/${domain}`, true);
		this.schedulePublish();
	}

	/** Adds a service with a target in each domain and removes one target of the keyed service. */
	changeConfig(domains: readonly string[]): void {
		this.view.store.set('service/added', {name: 'added', isSharded: false, coldRate: 5});
		for (const domain of domains) {
			this.addTarget(`a-${domain}`, 'added', domain);
		}

		this.view.store.remove(`target/k-${domains[0]}0`);
		this.schedulePublish();
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

		if (now % pingIntervalMs === 0 && this.hasLeader) {
			this.sendPings();
		}

		if (this.hasLeader) {
			const {node} = this.leader;
			this.cutOff.record(node.name, this.leader.monitor.isCutOff);
			this.cutOff.prune(this.allNodes());
			this.handovers.get(node.name)!.tick({
				leadership: {era: 1, term: 1}, isRecovering: false, storeAgeMs: now - (this.storeLostAt ?? now), followers: {liveNodes: () => this.allNodes()},
			}, now);
		}
	}

	private createAssignment(): StewardAssignment {
		return new StewardAssignment({
			view: this.view, telemetry: this.telemetry, reader: {remainingColdMs: () => 0}, delayMs: () => 0, liveNodes: () => this.allNodes(),
		});
	}

	private createCutOffInstances(): CutOffInstances {
		return new CutOffInstances({
			view: this.view, clock: this.clock, telemetry: this.telemetry, onChange: () => {
				this.schedulePublish();
			},
		});
	}

	private allNodes(): NodeInfo[] {
		return [...this.instances.values()].map(({node}) => node);
	}

	private addTarget(id: string, service: string, domain: string): void {
		this.view.store.set(`target/${id}`, {
			id, name: id, service, addr: id, domain, slots: 2, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
		});
	}

	private addInstance(name: string, domain: string): void {
		const node: NodeInfo = {
			name, domain, incarnation: name, addr: name, cores: 1,
		};
		this.view.store.set(`node/${name}`, node);
		const targets = (): PathTarget[] => [...this.view.targets.values()].filter(target => this.view.isUsable(target));
		this.instances.set(name, {
			node, monitor: new PathMonitor({targets, random: this.random}), partition: undefined, queues: [], knownCutOff: new Set(), reported: false,
		});
		this.handovers.set(name, new LeadHandover({
			self: node, view: this.view, telemetry: this.telemetry, random: this.random, net: {
				call: async addr => {
					this.schedule(this.linkMs() + electionMs, () => {
						this.leader = this.instances.get(addr) ?? this.leader;
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
				const target = this.selectTarget(queue);
				if (target !== undefined) {
					this.sendRequest(instance, target);
				}
			}
		}

		for (const target of monitor.startRound(now)) {
			const {kind, timeoutMs} = monitor.check!;
			const {partition} = instance;
			const isReached = partition === undefined || (partition === SimulatedPartition.Unanswered && kind === CheckKind.Connect);
			const isSilent = !isReached && (partition === SimulatedPartition.Silent || partition === SimulatedPartition.Unanswered);
			this.schedule(isSilent ? timeoutMs : this.linkMs(), () => {
				monitor.recordCheck(target, isReached, this.clock.now());
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
		const sentAt = this.clock.now();
		const fail = (ms: number, evidence: PathEvidence) => {
			this.schedule(ms, () => {
				monitor.recordFailure(target, evidence, this.clock.now(), evidence === PathEvidence.Overdue ? {sentAt, expectedMs} : undefined);
			});
		};

		switch (partition) {
			case SimulatedPartition.Silent: {
				fail(isNew ? connectTimeoutMs : overdueMs, isNew ? PathEvidence.ConnectTimeout : PathEvidence.Overdue);
				break;
			}

			case SimulatedPartition.Unanswered: {
				fail(overdueMs, PathEvidence.Overdue);
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

	private selectTarget(queue: string): string | undefined {
		const candidates = [...this.view.targets.values()].filter(target => this.view.isUsable(target)
			&& (queue === targetQueueId(target.id) || queue === sharedQueueId(target.service, target.domain)));
		return candidates[Math.floor(this.random() * candidates.length)]?.id;
	}

	private report({node, monitor}: Instance): void {
		const {isCutOff} = monitor;
		this.schedule(this.linkMs(), () => {
			if (this.hasLeader && this.instances.has(node.name)) {
				this.cutOff.record(node.name, isCutOff);
			}
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
			if (this.hasLeader) {
				this.publish();
			}
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
