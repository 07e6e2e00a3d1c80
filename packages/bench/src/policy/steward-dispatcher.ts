import {
	AdmissionKind, CancelResult, OrderOutcome, HedgePolicy, LoadTable, Repeat, RetryBudget, Availability, StragglerDetector, TargetAdmission,
	type Candidate, type TargetSelector, type QueueEntry, type LoadReport, type AdmissionDecision,
} from '@bluebellyard/core';
import type {SelectorFactory} from './direct-dispatcher.js';
import {Dispatcher} from './dispatcher.js';
import type {SharedPoolSimulation, SimRequest} from './shared-pool-simulation.js';

/** Interval between ticks of an instance, in milliseconds. */
const tickMs = 10;

/** Options of the policy of the instances. */
export type StewardDispatcherOptions = {
	readonly selector: SelectorFactory;
	/** Whether slow targets are set aside. */
	readonly setAside: boolean;
	/** Whether late requests are hedged: sent to another target as well. */
	readonly hedge: boolean;
	/** Number of targets that a request tries without queueing before it queues at one. */
	readonly immediateTries: number;
	/** Interval between heartbeats with load reports, in milliseconds; 0 for no heartbeats. */
	readonly heartbeatMs: number;
};

/** Reason for sending an attempt. */
enum AttemptPurpose {
	/** The regular attempt of a request. */
	First = 'first',
	/** The answer of an earlier attempt is late. */
	Hedge = 'hedge',
	/** Measures a target that is set aside; sent in addition to the first attempt. */
	Probe = 'probe',
}

/** One attempt of a request at a target. */
type Attempt = {
	readonly req: SimRequest;
	readonly id: string;
	readonly target: number;
	readonly sentAt: number;
	readonly purpose: AttemptPurpose;
	/** Targets that refused the request before. */
	readonly tried: readonly number[];
	done: boolean;
};

type InstanceState = {
	readonly selector: TargetSelector;
	readonly loads: LoadTable;
	readonly detector: StragglerDetector;
	readonly hedgePolicy: HedgePolicy;
	readonly budget: RetryBudget;
};

type AttemptEntry = QueueEntry & {readonly attempt: Attempt};

/**
 * Each target receives orders only from its steward; instances select among the stewards.
 */
export class StewardDispatcher extends Dispatcher {
	/** Number of hedges sent. */
	hedges = 0;
	/** Number of tries that a target refused and that were followed by another try. */
	refusedTries = 0;
	private readonly admissions: Array<TargetAdmission<AttemptEntry>>;
	private readonly instances: InstanceState[];
	private readonly options: StewardDispatcherOptions;
	/** Attempts that can be cancelled, by request. */
	private readonly openAttempts = new Map<SimRequest, Attempt[]>();
	private attemptCount = 0;

	constructor(simulation: SharedPoolSimulation, options: StewardDispatcherOptions) {
		super(simulation);
		this.options = options;
		const {instances, targets, target} = simulation.cfg;
		const admissionCfg = {slots: target.slots, queue: 32, callerShare: 1};
		this.admissions = Array.from({length: targets}, () => new TargetAdmission<AttemptEntry>(admissionCfg));
		this.instances = Array.from({length: instances}, (_, i) => this.createInstance(i));
		for (const admission of this.admissions) {
			admission.handleGrant({incarnation: 'first', cold: false, sentAt: 0}, 0);
		}

		simulation.loop.scheduleEvery(tickMs, () => {
			this.tick();
		});
		if (options.heartbeatMs > 0) {
			simulation.loop.scheduleEvery(options.heartbeatMs, () => {
				this.sendHeartbeats();
			});
		}
	}

	override send(req: SimRequest): void {
		const instance = this.instances[req.instance];
		const {now} = this.simulation.loop;
		instance.budget.deposit(now);
		const probe = this.options.setAside ? instance.detector.claimProbe(now) : undefined;
		if (probe !== undefined && instance.budget.tryWithdraw(now)) {
			this.sendAttempt(req, Number(probe), AttemptPurpose.Probe);
		}

		const selected = this.selectTarget(req, probe);
		if (selected === undefined) {
			this.simulation.recordRefusal(req, 'no-target');
			return;
		}

		this.sendAttempt(req, selected);
		this.scheduleHedge(req, selected);
	}

	private createInstance(idx: number): InstanceState {
		const budget = new RetryBudget();
		const detector = new StragglerDetector();
		for (const target of this.simulation.targets.keys()) {
			detector.add(String(target));
		}

		return {
			selector: this.options.selector(idx), loads: new LoadTable(), detector, hedgePolicy: new HedgePolicy(budget), budget,
		};
	}

	private selectTarget(req: SimRequest, excluded?: string): number | undefined {
		const instance = this.instances[req.instance];
		const {now} = this.simulation.loop;
		const candidates: Candidate[] = this.admissions.map((_, target) => {
			const name = String(target);
			const report = instance.loads.lastReport(name);
			const isSetAside = this.options.setAside && instance.detector.isSetAside(name);
			return {
				name,
				availability: isSetAside ? Availability.SetAside : Availability.Available,
				load: instance.loads.load(name, now),
				limit: report?.limit ?? this.simulation.cfg.target.slots,
				serviceMs: report?.serviceMs,
			};
		});
		const selected = instance.selector.select(candidates, excluded);
		return selected === undefined ? undefined : Number(selected.name);
	}

	private sendAttempt(req: SimRequest, target: number, purpose = AttemptPurpose.First, tried: readonly number[] = []): void {
		const {loop, cfg} = this.simulation;
		this.attemptCount += 1;
		const attempt: Attempt = {
			req, target, id: String(this.attemptCount), sentAt: loop.now, purpose, tried, done: false,
		};
		this.openAttempts.set(req, [...(this.openAttempts.get(req) ?? []), attempt]);
		const instance = this.instances[req.instance];
		instance.loads.begin(String(target));
		instance.detector.recordStart(String(target), attempt.id, loop.now);
		loop.schedule(cfg.networkDelayMs, () => {
			this.offer(attempt);
		});
	}

	private offer(attempt: Attempt): void {
		const {req, target, id} = attempt;
		if (attempt.done) {
			return;
		}

		const entry: AttemptEntry = {
			id,
			caller: 'all',
			repeat: Repeat.Idempotent,
			deadline: req.deadline,
			attempt,
			mayWait: attempt.purpose === AttemptPurpose.First && attempt.tried.length >= this.options.immediateTries,
		};
		const result = this.admissions[target].offer(entry, this.simulation.loop.now);
		if (result.kind === AdmissionKind.Start) {
			this.start(entry);
		} else if (result.kind === AdmissionKind.Refused) {
			this.sendResult(attempt, result.error);
		}
	}

	private start(entry: AttemptEntry): void {
		const {loop, cfg, targets} = this.simulation;
		const {target} = entry.attempt;
		loop.schedule(cfg.intraDomainDelayMs, () => {
			targets[target].start(entry.id, () => {
				loop.schedule(cfg.intraDomainDelayMs, () => {
					this.applyDecision(this.admissions[target].finish(entry.id, {outcome: OrderOutcome.Answered}, loop.now));
					this.sendResult(entry.attempt);
				});
			});
		});
	}

	private applyDecision(decision: AdmissionDecision<AttemptEntry>): void {
		for (const entry of decision.start) {
			this.start(entry);
		}

		for (const {entry, error} of decision.refuse) {
			this.sendResult(entry.attempt, error);
		}
	}

	/** Sends an answer or a refusal back to the instance. */
	private sendResult(attempt: Attempt, refusal?: string): void {
		const {loop, cfg} = this.simulation;
		const report = this.admissions[attempt.target].load(loop.now);
		loop.schedule(cfg.networkDelayMs, () => {
			this.handleResult(attempt, report, refusal);
		});
	}

	private handleResult(attempt: Attempt, report: LoadReport, refusal?: string): void {
		const {now} = this.simulation.loop;
		const instance = this.instances[attempt.req.instance];
		const name = String(attempt.target);
		this.applyReport(instance, attempt.target, report);
		if (attempt.done) {
			return;
		}

		attempt.done = true;
		instance.loads.end(name);
		if (refusal === undefined) {
			instance.detector.recordAnswer(name, attempt.id, now);
			instance.hedgePolicy.recordLatency(now - attempt.sentAt);
			this.simulation.recordAnswer(attempt.req);
			this.cancelOthers(attempt);
		} else {
			instance.detector.recordCancelled(name, attempt.id, now);
			this.tryNextTarget(attempt, refusal);
		}
	}

	/** Tries another target after one refused the attempt, if more tries are allowed. */
	private tryNextTarget(attempt: Attempt, refusal: string): void {
		if (attempt.req.ended || attempt.purpose === AttemptPurpose.Probe || attempt.tried.length >= this.options.immediateTries) {
			this.refuseIfNoneLeft(attempt.req, refusal);
			return;
		}

		this.refusedTries += 1;
		const tried = [...attempt.tried, attempt.target];
		const next = this.selectTarget(attempt.req, String(attempt.target)) ?? attempt.target;
		this.sendAttempt(attempt.req, next, attempt.purpose, tried);
	}

	/** Refuses the request if it has no other open attempt. */
	private refuseIfNoneLeft(req: SimRequest, reason: string): void {
		const hasOpenAttempt = (this.openAttempts.get(req) ?? []).some(attempt => !attempt.done);
		if (!hasOpenAttempt) {
			this.openAttempts.delete(req);
			this.simulation.recordRefusal(req, reason);
		}
	}

	private cancelOthers(winner: Attempt): void {
		const {loop, cfg} = this.simulation;
		const {req} = winner;
		const others = (this.openAttempts.get(req) ?? []).filter(attempt => !attempt.done && attempt.purpose !== AttemptPurpose.Probe);
		this.openAttempts.delete(req);
		for (const attempt of others) {
			const {detector, loads} = this.instances[req.instance];
			const name = String(attempt.target);
			attempt.done = true;
			loads.end(name);
			if (winner.sentAt > attempt.sentAt) {
				detector.recordOvertaken(name, attempt.id, loop.now);
			} else {
				detector.recordCancelled(name, attempt.id, loop.now);
			}

			loop.schedule(cfg.networkDelayMs, () => {
				this.cancel(attempt);
			});
		}
	}

	private cancel(attempt: Attempt): void {
		const {loop, cfg, targets} = this.simulation;
		const admission = this.admissions[attempt.target];
		if (admission.cancel(attempt.id) === CancelResult.InFlight) {
			loop.schedule(cfg.intraDomainDelayMs, () => {
				targets[attempt.target].cancel(attempt.id);
				this.applyDecision(admission.finish(attempt.id, {outcome: OrderOutcome.Cancelled}, loop.now));
			});
		}
	}

	private scheduleHedge(req: SimRequest, first: number): void {
		const {loop} = this.simulation;
		const {hedgePolicy} = this.instances[req.instance];
		const candidate = {repeat: Repeat.Idempotent, sentAt: loop.now, deadline: req.deadline};
		const due = this.options.hedge ? hedgePolicy.dueAt(candidate) : undefined;
		if (due === undefined) {
			return;
		}

		loop.schedule(due - loop.now, () => {
			if (!req.ended && hedgePolicy.allow(candidate, loop.now)) {
				this.hedges += 1;
				this.sendAttempt(req, this.selectTarget(req, String(first)) ?? first, AttemptPurpose.Hedge);
			}
		});
	}

	private applyReport(instance: InstanceState, target: number, report: LoadReport): void {
		const name = String(target);
		instance.loads.applyReport(name, report, this.simulation.loop.now);
		if (this.options.heartbeatMs > 0) {
			instance.detector.recordServiceTime(name, report.serviceMs);
		}
	}

	private tick(): void {
		const {now} = this.simulation.loop;
		for (const admission of this.admissions) {
			this.applyDecision(admission.tick(now));
		}

		for (const instance of this.instances) {
			instance.detector.tick(now);
		}
	}

	private sendHeartbeats(): void {
		const {loop, cfg} = this.simulation;
		for (const [target, admission] of this.admissions.entries()) {
			const report = admission.load(loop.now);
			loop.schedule(cfg.networkDelayMs, () => {
				for (const instance of this.instances) {
					this.applyReport(instance, target, report);
				}
			});
		}
	}
}
