import {Buffer} from 'node:buffer';
import {
	ErrorKind, ManualClock, RunMode, seededRandom, type TrialDecision, type TrialOutcome,
} from '@bluebellyard/core';
import {AnswerFraming} from '@bluebellyard/http-client';
import {
	loadSuspects, PeerOp, SuspectLog, SuspectRegistry,
} from '../cluster/index.js';
import {CrashGuard} from '../dispatch/crash-guard.js';
import {fingerprintOf} from '../dispatch/order-fingerprint.js';
import {failure, type Order, type OrderResult} from '../dispatch/order.js';
import {TrialRunner} from '../dispatch/trial-runner.js';
import {Telemetry} from '../telemetry/index.js';
import {suspectPart, View} from '../view/index.js';
import {MemoryLog} from './memory-log.js';

/** Time from the start of a run until its answer, and until a request that crashes its target does so, in milliseconds. */
const runMs = 50;
const crashAfterMs = 70;

/** Time from a crash until the target is replaced, in milliseconds. */
const replacementMs = 2500;

/** Interval of the leader's pings, which repeat lost messages, in milliseconds. */
const pingIntervalMs = 600;

/** Shortest time without a leader after its loss, and the random part of it, in milliseconds. */
const electionMs = 1400;
const electionRandomMs = 1500;

/** Time until an instance that was restarted runs again, in milliseconds. */
const restartMs = 700;

/** Share of single messages that are lost. */
const lossShare = 0.1;

type Instance = {
	view: View;
	guard: CrashGuard;
	runner: TrialRunner;
	/** Whether it runs and has what a leader published, or the store has, so that it serves callers. */
	isServing: boolean;
	life: number;
};

type Target = {
	id: string;
	isUp: boolean;
	/** Running orders, with the instance that sent each and the function that ends it. */
	readonly running: Map<Order, {readonly sender: Instance; readonly end: (result: OrderResult) => void}>;
};

type SimulationEvent = {
	readonly at: number;
	readonly action: () => void | Promise<void>;
};

/**
 * Instances with their views, guards and trials, a leader that changes, a store, and targets that some requests crash, in
 * simulated time. Messages take time, and some are lost.
 */
export class CrashSimulation {
	readonly clock = new ManualClock();
	/** Starts of runs that crash their target, and crashes, in simulated milliseconds. */
	readonly crashRuns: number[] = [];
	readonly crashes: number[] = [];
	private readonly random: () => number;
	private readonly log = new MemoryLog();
	private readonly telemetry = new Telemetry(this.clock);
	private readonly instances: Instance[] = [];
	private readonly targets: Target[] = [];
	private events: SimulationEvent[] = [];
	private leader: {readonly instance: Instance; readonly registry: SuspectRegistry} | undefined;
	private nextId = 1;

	constructor(seed: number, {instances, targets}: {instances: number; targets: number}) {
		this.random = seededRandom(seed);
		for (let i = 0; i < instances; i += 1) {
			this.instances.push(this.createInstance());
		}

		for (let i = 0; i < targets; i += 1) {
			this.targets.push({id: `t${i}`, isUp: true, running: new Map()});
		}

		this.elect();
		for (const instance of this.instances) {
			instance.isServing = true;
		}

		this.repeat(pingIntervalMs, () => {
			this.ping();
		});
	}

	/** Runs until a time in simulated milliseconds. */
	async runUntil(endMs: number): Promise<void> {
		for (;;) {
			const firstAt = Math.min(...this.events.map(({at}) => at));
			const next = this.events.find(({at}) => at === firstAt);
			if (next === undefined || next.at > endMs) {
				break;
			}

			this.events = this.events.filter(event => event !== next);
			this.clock.advance(Math.max(0, next.at - this.clock.now()));
			// eslint-disable-next-line no-await-in-loop
			await next.action();
			// Lets what waited for this event continue.
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		this.clock.advance(Math.max(0, endMs - this.clock.now()));
	}

	/** Calls an action after a time in simulated milliseconds. */
	after(ms: number, action: () => void | Promise<void>): void {
		this.events.push({at: this.clock.now() + ms, action});
	}

	/** Sends requests for a path at random intervals of `intervalMs` on average, at random instances, until a time. */
	repeatRequests(path: string, intervalMs: number, untilMs: number): void {
		const send = () => {
			if (this.clock.now() < untilMs) {
				void this.request(path);
				this.after(intervalMs * 2 * this.random(), send);
			}
		};

		this.after(intervalMs * this.random(), send);
	}

	/** Sends a request to a random instance that serves callers. Requests for paths that end with `crash` crash their target. */
	async request(path: string): Promise<OrderResult> {
		const serving = this.instances.filter(({isServing}) => isServing);
		if (serving.length === 0) {
			return failure(ErrorKind.NotReady, {});
		}

		const instance = serving[Math.floor(this.random() * serving.length)];
		const order = this.createOrder(path);
		const print = instance.guard.findSuspect(order);
		const attempt = async (sent: Order) => this.run(instance, sent);
		return print === undefined ? attempt(order) : await instance.runner.run(order, {print, isTold: false, signal: new AbortController().signal}, attempt) ?? attempt(order);
	}

	/** Loses the leader; another instance is elected some time later. */
	loseLeader(): void {
		const lost = this.leader?.instance;
		this.leader?.registry.stop();
		this.leader = undefined;
		if (lost !== undefined) {
			this.restart(lost);
		}

		this.after(electionMs + (this.random() * electionRandomMs), () => {
			this.elect();
		});
	}

	/** Restarts a random instance that does not lead. */
	restartFollower(): void {
		const followers = this.instances.filter(instance => instance !== this.leader?.instance);
		this.restart(followers[Math.floor(this.random() * followers.length)]);
	}

	/** Loses all instances at once. */
	loseAll(): void {
		this.loseLeader();
		for (const instance of this.instances) {
			this.restart(instance);
		}
	}

	private createInstance(): Instance {
		const view = new View();
		const guard = new CrashGuard(view, this.clock);
		const instance: Instance = {
			view,
			guard,
			runner: new TrialRunner({
				guard,
				clock: this.clock,
				telemetry: this.telemetry,
				requestTrial: async (print, maxMs) => this.requestTrial(print, maxMs),
				reportEnd: (print, outcome) => {
					this.reportEnd(print, outcome);
				},
				waitForChange: async ms => new Promise(resolve => {
					this.after(ms, resolve);
				}),
			}),
			isServing: false,
			life: 1,
		};
		return instance;
	}

	private restart(instance: Instance): void {
		Object.assign(instance, this.createInstance(), {life: instance.life + 1});
		this.after(restartMs, async () => {
			if (this.leader === undefined) {
				// Without a leader it reads the store before it serves.
				await loadSuspects(new SuspectLog(this.log), undefined, instance.view);
				instance.isServing = true;
			}
		});
	}

	private elect(): void {
		if (this.leader !== undefined) {
			return;
		}

		const candidates = this.instances.some(({isServing}) => isServing) ? this.instances.filter(({isServing}) => isServing) : this.instances;
		const instance = candidates[Math.floor(this.random() * candidates.length)];
		const registry = new SuspectRegistry({
			view: instance.view, suspectLog: new SuspectLog(this.log), clock: this.clock, telemetry: this.telemetry, onChange: () => {
				this.publish();
			},
		});
		this.leader = {instance, registry};
		void registry.load().then(() => {
			instance.isServing = true;
		});
		const tick = () => {
			if (this.leader?.registry === registry) {
				registry.tick(this.clock.now());
				this.after(100, tick);
			}
		};

		tick();
	}

	private ping(): void {
		this.publish();
		for (const {guard} of this.instances) {
			const reports = guard.reports();
			this.deliver(() => {
				this.leader?.registry.recordCrashes(reports);
			});
		}
	}

	private publish(): void {
		if (this.leader === undefined) {
			return;
		}

		const {instance: leader} = this.leader;
		for (const instance of this.instances) {
			if (instance !== leader) {
				const {life} = instance;
				this.deliver(() => {
					if (instance.life === life && this.leader?.instance === leader) {
						instance.view.replacePrefix(`${suspectPart}/`, new Map([...leader.view.suspects].map(([print, suspect]) => [`${suspectPart}/${print}`, suspect])));
						instance.view.notifyListeners();
						instance.isServing = true;
					}
				});
			}
		}
	}

	private deliver(action: () => void): void {
		if (this.random() >= lossShare) {
			this.after(this.delayMs(), action);
		}
	}

	private delayMs(): number {
		return 2 + (this.random() * 60);
	}

	private async requestTrial(print: string, maxMs: number): Promise<TrialDecision | undefined> {
		return new Promise(resolve => {
			this.after(this.delayMs(), () => {
				const decision = this.leader?.registry.requestTrial({print, maxMs});
				// The answer may be lost, as its question may.
				this.after(this.delayMs(), () => {
					resolve(this.random() < lossShare ? undefined : decision);
				});
			});
		});
	}

	private reportEnd(print: string, outcome: TrialOutcome): void {
		this.deliver(() => {
			this.leader?.registry.handle(PeerOp.TrialEnd, {print, outcome});
		});
	}

	private async run(sender: Instance, order: Order): Promise<OrderResult> {
		const up = this.targets.filter(({isUp}) => isUp);
		if (up.length === 0) {
			return failure(ErrorKind.NoTarget, {});
		}

		const target = up[Math.floor(this.random() * up.length)];
		const isCrash = order.path.endsWith('crash');
		if (isCrash) {
			this.crashRuns.push(this.clock.now());
		}

		return new Promise(resolve => {
			const end = (result: OrderResult) => {
				target.running.delete(order);
				resolve(result);
			};

			target.running.set(order, {sender, end});
			this.after(isCrash ? crashAfterMs : runMs, () => {
				if (target.running.has(order)) {
					if (isCrash) {
						this.crash(target);
					} else {
						end({
							kind: 'answer', target: target.id, waitMs: 0, answer: {
								status: 200, headers: [], body: Buffer.alloc(0), framing: AnswerFraming.Length,
							},
						});
					}
				}
			});
		});
	}

	private crash(target: Target): void {
		this.crashes.push(this.clock.now());
		target.isUp = false;
		const former = target.id;
		const senders = new Map<Instance, Order[]>();
		for (const [order, {sender}] of target.running) {
			senders.set(sender, [...senders.get(sender) ?? [], order]);
		}

		for (const [{guard}, orders] of senders) {
			const report = {
				target: former, service: 's', version: '', fingerprints: [...new Set(orders.map(order => fingerprintOf(order)))],
			};
			guard.recordCrash(report);
			this.deliver(() => {
				this.leader?.registry.recordCrashes([report]);
			});
		}

		for (const {end} of target.running.values()) {
			end(failure(ErrorKind.ConnectionLost, {isNotRun: false, isTargetGone: true}));
		}

		this.after(replacementMs, () => {
			target.id = `${former}x`;
			target.isUp = true;
		});
	}

	private repeat(intervalMs: number, action: () => void): void {
		this.after(intervalMs, () => {
			action();
			this.repeat(intervalMs, action);
		});
	}

	private createOrder(path: string): Order {
		const now = this.clock.now();
		this.nextId += 1;
		return {
			requestId: String(this.nextId),
			method: 'GET',
			path,
			headers: [],
			body: Buffer.alloc(0),
			route: 'route',
			service: 's',
			key: undefined,
			priority: 1,
			isOnce: false,
			objectiveMs: 500,
			arrivedAt: now,
			objectiveAt: now + 500,
			deadline: now + 2000,
			excluded: [],
			skipsRateLimited: false,
			mode: RunMode.Usual,
		};
	}
}
