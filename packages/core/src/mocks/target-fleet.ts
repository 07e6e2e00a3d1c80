/**
 * Plays the requests of one instance to targets that may be slow, full or crashed, and partitions in which connections
 * are accepted and nothing is answered. Full targets never answer what they can't queue.
 */
import {drawLogNormal, drawPoisson} from '../random/index.js';
import {
	CheckKind, PathEvidence, PathMonitor, type PathTarget,
} from '../reachability/index.js';

/** What the targets of a fleet are like. Times are milliseconds. */
export type FleetCfg = {
	readonly services: number;
	readonly targetsPerService: number;
	readonly slots: number;
	/** Requests that wait at a target; further ones are dropped. */
	readonly queue: number;
	readonly workMs: number;
	/** Requests per second of this instance. */
	readonly perSecond: number;
	/** Whether health checks wait for a slot, and are dropped, as requests are. */
	readonly queuesHealthChecks: boolean;
};

type Item = {
	readonly workMs: number;
	/** Called when the response arrives. */
	readonly onAnswer: () => void;
};

type Target = PathTarget & {
	isCrashed: boolean;
	readonly running: Array<Item & {readonly endsAt: number}>;
	readonly queue: Item[];
};

const stepMs = 5;
const minOverdueMs = 300;
const overdueFactor = 3;

/** Time after which a request without a response is given up, in milliseconds. */
const requestTimeoutMs = 2000;

/** Work of a health check, in milliseconds. */
const healthMs = 5;

/** Standard deviation of the logarithm of the work. */
const workSpread = 0.5;

/** One instance and its targets. `random` returns numbers from 0 to 1. */
export class TargetFleet {
	now = 0;
	/** Factor by which all targets are slow. */
	slowFactor = 1;
	/** Factor by which requests are more frequent than usual. */
	loadFactor = 1;
	/** Whether connections are accepted and nothing is answered. */
	isUnanswered = false;
	/** Health checks so far. */
	byteChecks = 0;
	/** Times at which the decision changed. */
	readonly changes: number[] = [];
	/** Decisions that nothing is answered although connections are accepted. */
	unansweredDecisions = 0;
	readonly monitor: PathMonitor;
	readonly targets: readonly Target[];
	/** Events by the number of their step. */
	private readonly events = new Map<number, Array<() => void>>();

	constructor(private readonly cfg: FleetCfg, private readonly random: () => number) {
		this.targets = Array.from({length: cfg.services * cfg.targetsPerService}, (_, i): Target => ({
			id: `t${i}`, service: `s${i % cfg.services}`, domain: ['x', 'y', 'z'][Math.floor(i / cfg.services) % 3], isCrashed: false, running: [], queue: [],
		}));
		this.monitor = new PathMonitor({targets: () => this.targets, random});
	}

	/** Advances the time. */
	advance(ms: number): void {
		for (const end = this.now + ms; this.now < end; this.now += stepMs) {
			this.step();
		}
	}

	private step(): void {
		const wasCutOff = this.monitor.isCutOff;
		const stepNumber = this.now / stepMs;
		const due = this.events.get(stepNumber) ?? [];
		this.events.delete(stepNumber);
		for (const run of due) {
			run();
		}

		for (const target of this.targets) {
			this.finishWork(target);
		}

		if (!this.monitor.isCutOff) {
			const count = drawPoisson(this.random, this.cfg.perSecond * this.loadFactor * stepMs / 1000);
			for (let i = 0; i < count; i += 1) {
				this.send(this.targets[Math.floor(this.random() * this.targets.length)]);
			}
		}

		this.startChecks();
		if (this.monitor.isCutOff !== wasCutOff) {
			this.changes.push(this.now);
			this.unansweredDecisions += this.monitor.isUnanswered ? 1 : 0;
		}
	}

	private send(target: Target): void {
		const {monitor, cfg} = this;
		const sentAt = this.now;
		if (target.isCrashed) {
			monitor.recordFailure(target.id, PathEvidence.ConnectFailed, sentAt);
			return;
		}

		let isOpen = true;
		this.schedule(Math.max(minOverdueMs, cfg.workMs * overdueFactor), () => {
			if (isOpen) {
				monitor.recordFailure(target.id, PathEvidence.Overdue, this.now, {sentAt, expectedMs: cfg.workMs});
			}
		});
		this.schedule(requestTimeoutMs, () => {
			isOpen = false;
		});
		this.deliver(target, drawLogNormal(this.random, cfg.workMs, workSpread), () => {
			if (isOpen) {
				isOpen = false;
				monitor.recordResponse(target.id, sentAt, this.now);
			}
		});
	}

	/** Queues or drops work of a target. `onAnswer` is called when the response arrives. */
	private deliver(target: Target, workMs: number, onAnswer: () => void): void {
		if (this.isUnanswered || target.queue.length >= this.cfg.queue) {
			return;
		}

		target.queue.push({workMs, onAnswer});
	}

	private finishWork(target: Target): void {
		const {running, queue} = target;
		if (target.isCrashed) {
			for (const _ of running.splice(0)) {
				this.monitor.recordFailure(target.id, PathEvidence.Reset, this.now);
			}

			queue.length = 0;
			return;
		}

		for (const item of running.filter(({endsAt}) => endsAt <= this.now)) {
			running.splice(running.indexOf(item), 1);
			if (!this.isUnanswered) {
				item.onAnswer();
			}
		}

		while (running.length < this.cfg.slots && queue.length > 0) {
			const item = queue.shift()!;
			running.push({...item, endsAt: this.now + (item.workMs * this.slowFactor)});
		}
	}

	private startChecks(): void {
		const ids = this.monitor.startRound(this.now);
		const {check} = this.monitor;
		if (check === undefined) {
			return;
		}

		for (const id of ids) {
			const target = this.targets.find(known => known.id === id)!;
			let isPending = true;
			const end = (isReached: boolean) => {
				if (isPending) {
					isPending = false;
					this.monitor.recordCheck(id, isReached, this.now);
				}
			};

			this.schedule(check.timeoutMs, () => {
				end(false);
			});
			if (check.kind === CheckKind.Connect || target.isCrashed) {
				this.schedule(stepMs, () => {
					end(!target.isCrashed);
				});
				continue;
			}

			this.byteChecks += 1;
			if (this.cfg.queuesHealthChecks) {
				this.deliver(target, healthMs, () => {
					end(true);
				});
			} else if (!this.isUnanswered) {
				this.schedule(healthMs * this.slowFactor, () => {
					end(true);
				});
			}
		}
	}

	private schedule(inMs: number, run: () => void): void {
		const stepNumber = Math.ceil((this.now + inMs) / stepMs);
		const due = this.events.get(stepNumber) ?? [];
		this.events.set(stepNumber, due);
		due.push(run);
	}
}
