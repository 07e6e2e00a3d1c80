/**
 * One instance of the gateway: creates, starts and stops all of its parts.
 */
import {randomUUID} from 'node:crypto';
import {
	MemoryBudget, ReservationMode, StopSchedule, systemClock, type Clock, type LeaseTiming, type HostRoute,
} from '@bluebellyard/core';
import {
	createUnverifiedRecorder, DispatchQueues, isConnectionRefused, PathChecker, probeConnection, ProbeOutcome, receivesByte, TargetClient,
} from './queue/index.js';
import {
	CrashGuard, Dispatcher, isLoadBalanced, RequestExplainer, type Order,
} from './dispatch/index.js';
import {
	answerExplain, CallerServer, createOverloadCheck, explainPath, ProbeServer, type OverloadCheck,
} from './front/index.js';
import {
	Coordinator, PeerOp, type Report,
} from './cluster/index.js';
import type {CancelSignal} from './net/index.js';
import {
	noBytes, PeerNet, type LinkState, type Message,
} from './peers/index.js';
import {PlannedStop} from './planned-stop.js';
import type {
	KeyedLog, OperatorFeed, TargetControl, TargetFeed, Wire,
} from './ports/index.js';
import {
	ContactBoundMode, DirectMode, toProcessLimits, toRetryBudget, type GatewaySettings,
} from './settings/index.js';
import {TeamAdmission, TeamRates} from './teams/index.js';
import {type Telemetry} from './telemetry/index.js';
import {stewardSlots, View, type NodeInfo} from './view/index.js';

/** Usual lease of a grant, in milliseconds: long enough for a change of the leader, short enough that the keys of a lost target are soon free again. */
const usualLeaseMs = 6000;

/** Timeout of a grant, in milliseconds. */
const grantTimeoutMs = 500;

/** Time since the leader was heard from which it may have named another steward, in milliseconds; it waits at least as long for an instance that does not answer. */
const stewardContactMs = 1000;

/** Time for which a connection that checks a path to the targets must stay open, in milliseconds; a middlebox may accept and reset it. */
const minCheckOpenMs = 15;

/** Largest number of list entries per service in a report; each key takes two, itself and its expected run time. */
const maxReportedEntries = 4000;

/** Longest time at the end of a stop for the replies to calls of other instances, in milliseconds. */
const lastRepliesMs = 100;

/** Interval between updates of the gauges, in milliseconds. */
const gaugeIntervalMs = 1000;

/** Adapters that the platform provides. */
export type PlatformPorts = {
	readonly log: KeyedLog;
	readonly operators: OperatorFeed;
	readonly targets: TargetFeed;
	readonly control: TargetControl;
	readonly wire: Wire;
	/** Path of the health check, on the health address. */
	readonly healthPath: string;
};

/** One instance of the gateway. */
export class Gateway {
	readonly view = new View();
	readonly coordinator: Coordinator;
	/** Rate limits of teams. */
	readonly teamRates: TeamRates;
	private readonly net: PeerNet;
	private readonly client: TargetClient;
	private readonly guard: CrashGuard;
	private readonly paths: PathChecker;
	private readonly queues: DispatchQueues;
	private readonly dispatcher: Dispatcher;
	private readonly callers: CallerServer;
	/** Admission check; undefined if it is off for this instance. */
	private readonly overload: OverloadCheck | undefined;
	private readonly health: ProbeServer;
	private readonly metrics: ProbeServer;
	private readonly requestedKeys = new Map<string, number[]>();
	private readonly self: NodeInfo;
	private gauges: NodeJS.Timeout | undefined;
	private readonly plannedStop: PlannedStop;

	constructor(
		private readonly cfg: GatewaySettings,
		ports: PlatformPorts,
		private readonly telemetry: Telemetry,
		clock: Clock = systemClock,
	) {
		const {view} = this;
		const peers = cfg.listen['peers-advertised'] ?? cfg.listen.peers;
		const {name, domain} = cfg.instance;
		this.self = {
			name,
			domain,
			incarnation: randomUUID(),
			addr: `${peers.host}:${peers.port}`,
			cores: cfg.instance['processor-share'] * cfg.instance['processor-speed'],
			...(cfg.instance.link !== undefined && {linkMbps: cfg.instance.link}),
		};
		const {self} = this;
		const random = () => Math.random();
		const limits = toProcessLimits(cfg.process);
		const budget = new MemoryBudget(limits.heldBytes);
		const probeOptions = {clock, budget, maxConnections: limits.probeConnections};
		this.net = new PeerNet(async (op, message, signal, link) => this.handleCall(op as PeerOp, message, signal, link), clock, {
			isFar: addr => this.isFar(addr), budget, maxIncoming: limits.peerConnections, maxUnnamed: limits.unnamedPeerConnections,
		});
		this.client = new TargetClient(ports.wire, clock, {localAddress: cfg.targets['local-address'], budget, onUnverified: createUnverifiedRecorder(telemetry)});
		this.coordinator = new Coordinator({
			...ports,
			self,
			view,
			net: this.net,
			clock,
			telemetry,
			random,
			timing: toTiming(cfg),
			minStewardCores: cfg.overload.cores,
			detectsSurges: () => isLoadBalanced(cfg.balancing.mode, view),
			usesContactBound: cfg.leader['contact-bound'] === ContactBoundMode.On,
			heartbeatMs: cfg.targets.heartbeat,
			report: () => this.report(),
		});
		this.teamRates = new TeamRates({
			self,
			view,
			clock,
			random,
			leader: () => ({...this.coordinator.leadership, heardAt: this.coordinator.leaderHeardAt}),
			sendUse: async message => this.coordinator.leaderChannel.reportTeamUse(message),
		});
		this.guard = new CrashGuard(view, clock);
		const stop = new StopSchedule(clock, (route, objectiveMs) => this.queues.estimateWorkMs(route, objectiveMs));
		this.paths = new PathChecker({
			selfName: name,
			view,
			clock,
			telemetry,
			random,
			canConnect: async (addr, timeoutMs) => await probeConnection({
				addr, localAddress: cfg.targets['local-address'], timeoutMs, minOpenMs: minCheckOpenMs,
			}) === ProbeOutcome.Connected,
			receivesByte: async (addr, path, timeoutMs) => receivesByte({
				addr, localAddress: cfg.targets['local-address'], path, timeoutMs,
			}),
			isUnreachable: addr => this.net.isUnreachable(addr),
			onChange: isCutOff => {
				this.coordinator.leaderChannel.report(PeerOp.CutOff, {instance: name, isCutOff});
				this.queues.releaseIfCutOff();
			},
		});
		this.queues = new DispatchQueues({
			selfName: name,
			view,
			paths: this.paths,
			client: this.client,
			clock,
			telemetry,
			onLeaving: target => {
				this.coordinator.leaderChannel.report(PeerOp.Leaving, target);
			},
			isRefused: async addr => isConnectionRefused(addr, cfg.targets['local-address']),
			guard: this.guard,
			stop,
			onCrash: report => {
				this.guard.recordCrash(report);
				this.coordinator.leaderChannel.report(PeerOp.Crash, report);
			},
			onAlive: target => {
				this.guard.retractCrash(target);
				this.coordinator.leaderChannel.report(PeerOp.Alive, target);
			},
			hasLeaderContact: () => this.coordinator.leaderContactAgeMs < stewardContactMs,
			isReserving: () => cfg.admission.reservations === ReservationMode.On,
			onNotOwner: (target: string, order: Order) => {
				if (order.key !== undefined) {
					this.coordinator.leaderChannel.report(PeerOp.Disowned, {service: order.service, owner: target, key: order.key});
				}
			},
		});
		ports.control.onAnswer = (target, headers) => {
			this.queues.recordControlAnswer(target, headers);
		};

		ports.control.onEndlessAnswer = ({name, addr}) => {
			telemetry.warn('control', 'Closed a connection on which the answer to a grant or release did not end.', {target: name, addr});
		};

		this.dispatcher = new Dispatcher({
			self,
			view,
			queues: this.queues,
			net: this.net,
			clock,
			telemetry,
			random,
			retryBudget: instances => toRetryBudget(cfg, instances),
			guard: this.guard,
			stop,
			balancing: cfg.balancing.mode,
			isReserving: () => cfg.admission.reservations === ReservationMode.On,
			isReleased: () => this.paths.isReleased,
			...(cfg.responses.direct === DirectMode.Auto && {
				direct: {
					client: this.client,
					paths: this.paths,
					estimateWorkMs: (route: string, objectiveMs: number) => this.queues.estimateWorkMs(route, objectiveMs),
					domain,
					tokenPrefix: self.incarnation,
				},
			}),
			requestTrial: async (print, maxMs) => this.coordinator.leaderChannel.requestTrial({print, maxMs}),
			reportEnd: (print, outcome) => {
				this.coordinator.leaderChannel.report(PeerOp.TrialEnd, {print, outcome});
			},
		});
		this.overload = createOverloadCheck(self.cores, cfg.overload.cores, {
			clock, telemetry, estimateWorkMs: (route, objectiveMs) => this.queues.estimateWorkMs(route, objectiveMs),
		});
		this.callers = new CallerServer({
			overload: this.overload,
			view,
			budget,
			maxConnections: limits.callerConnections,
			stop,
			wire: ports.wire,
			dispatcher: this.dispatcher,
			admission: new TeamAdmission({view, metrics: telemetry.metrics, limits: this.teamRates}),
			clock,
			telemetry,
			onKeyedRequest: (service, key, route) => {
				this.recordKey(service, key, route);
			},
		});
		this.plannedStop = new PlannedStop({
			schedule: stop,
			graceMs: cfg.shutdown.grace,
			callers: this.callers,
			dispatcher: this.dispatcher,
			queues: this.queues,
			net: this.net,
			clock,
			telemetry,
			leave: () => {
				this.coordinator.leave();
			},
			close: async () => {
				await this.net.stop(lastRepliesMs);
				await this.close();
			},
		});
		this.health = new ProbeServer(async path => path === ports.healthPath
			? {status: this.isReady ? 200 : 503, type: 'text/plain', body: this.isReady ? 'ready\n' : 'not ready\n'}
			: undefined, probeOptions);
		const explainer = new RequestExplainer({
			self,
			view,
			net: this.net,
			clock,
			isReleased: () => this.paths.isReleased,
			queueSnapshot: (queueId, priority) => this.queues.snapshot(queueId, priority),
			viewAgeMs: () => this.coordinator.leaderContactAgeMs,
		});
		this.metrics = new ProbeServer(async path => {
			const url = new URL(path, 'http://localhost');
			return url.pathname === explainPath
				? answerExplain(url, query => explainer.explain(query))
				: {status: 200, type: 'text/plain; version=0.0.4', body: await telemetry.metrics.text()};
		}, probeOptions);
	}

	/** Whether this instance can serve callers. */
	get isReady(): boolean {
		return !this.plannedStop.hasBegun && this.view.configVersion !== undefined && this.view.targets.size > 0;
	}

	/** Opens all ports and joins the other instances. */
	async start(): Promise<void> {
		const {listen} = this.cfg;
		await this.net.start(listen.peers.host, listen.peers.port);
		await this.health.start(listen.health.host, listen.health.port);
		await this.callers.start(listen.callers.host, listen.callers.port);
		if (listen.metrics !== undefined) {
			await this.metrics.start(listen.metrics.host, listen.metrics.port);
		}

		this.overload?.start();
		this.coordinator.start();
		this.gauges = setInterval(() => {
			this.updateGauges();
		}, gaugeIntervalMs);
		this.telemetry.info('gateway', 'Started.', {...this.self, callers: `${listen.callers.host}:${listen.callers.port}`});
	}

	/** Leaves the cluster, waits for open requests to end and closes, all within the grace period. Resolves at the end of the stop, also if it is called again. */
	async stop(): Promise<void> {
		await this.plannedStop.run();
	}

	/** Closes all connections and ports immediately. */
	async close(): Promise<void> {
		clearInterval(this.gauges);
		this.overload?.stop();
		this.coordinator.stop();
		this.paths.stop();
		this.callers.close();
		this.health.close();
		this.metrics.close();
		this.net.close();
		await this.client.close();
	}

	/** Returns whether the instance at an address is known to be in another failure domain. */
	private isFar(addr: string): boolean {
		const node = this.view.findNodeByAddr(addr);
		return node !== undefined && node.domain !== this.self.domain;
	}

	private async handleCall(op: PeerOp, message: Message, signal: CancelSignal, link: LinkState): Promise<Message> {
		if (op === PeerOp.Request) {
			return this.dispatcher.runForPeer(message, signal, link);
		}

		if (op === PeerOp.RequestWithdrawal) {
			return this.dispatcher.withdrawForPeer(message);
		}

		return op === PeerOp.RequestEnd
			? this.dispatcher.endForPeer(message)
			: {value: this.coordinator.handle(op, message), bytes: noBytes};
	}

	private recordKey(service: string, key: number, route: HostRoute): void {
		const entries = this.requestedKeys.get(service) ?? [];
		this.requestedKeys.set(service, entries);
		if (entries.length < maxReportedEntries) {
			entries.push(key, Math.round(this.queues.estimateWorkMs(route.name, route.objectiveMs)));
		}
	}

	private report(): Report {
		const keys = Object.fromEntries(this.requestedKeys);
		this.requestedKeys.clear();
		const teamUse = this.teamRates.report();
		return {
			...(teamUse !== undefined && {teamUse}),
			keys,
			slowness: this.queues.targetSlowness().map(([target, factor]) => [target, Math.round(factor * 100) / 100] as const),
			conditions: this.queues.reportConditions(),
			crashes: this.guard.reports(),
			leavingTargets: [...this.view.announcedLeaving].filter(target => this.view.targets.has(target)),
			...(this.overload !== undefined && {delayMs: Math.round(this.overload.delayMs)}),
			isLeaving: this.plannedStop.hasBegun,
			isCutOff: this.paths.isCutOff,
		};
	}

	private updateGauges(): void {
		const {metrics} = this.telemetry;
		metrics.queued.set(this.queues.queued);
		metrics.inFlight.set(this.queues.inFlight);
		metrics.delay.set((this.overload?.delayMs ?? 0) / 1000);
		metrics.viewAge.set(this.coordinator.leaderContactAgeMs / 1000);
		metrics.configAge.set(this.coordinator.configAgeMs / 1000);
		metrics.stewardSlots.reset();
		for (const [responses, slots] of stewardSlots(this.view, this.self.name)) {
			metrics.stewardSlots.set({responses}, slots);
		}

		metrics.cutOffInstances.reset();
		for (const instance of this.view.cutOffInstances) {
			metrics.cutOffInstances.set({instance}, 1);
		}

		metrics.targetsOutOfReach.reset();
		for (const [domain, count] of this.paths.outOfReach) {
			metrics.targetsOutOfReach.set({domain}, count);
		}

		metrics.leads.set(this.coordinator.isLeader ? 1 : 0);
		metrics.logLinesDropped.set(this.telemetry.suppressedLines);
	}
}

function toTiming(cfg: GatewaySettings): LeaseTiming {
	return {leaseMs: Math.min(usualLeaseMs, cfg.keys['hold-max']), transitMs: grantTimeoutMs};
}
