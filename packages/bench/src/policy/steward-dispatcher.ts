import {
	AdmissionKind, CancelResult, OrderOutcome, HedgePolicy, LoadTable, Repeat, RetryBudget, Availability, StragglerDetector, TargetAdmission,
	type Candidate, type TargetSelector, type QueueEntry, type LoadReport, type AdmissionDecision,
} from '@bluebellyard/core';
import type {SelectorFactory} from './direct-dispatcher.js';
import {Dispatcher} from './dispatcher.js';
import type {SharedPoolSimulation, SimRequest} from './shared-pool-simulation.js';

/** Time between two ticks of an instance, in milliseconds. */
const tickMs = 10;

/** What the policy of the instances does. */
export type StewardDispatcherOptions = {
	readonly selector: SelectorFactory;
	/** Whether slow targets are set aside. */
	readonly setAside: boolean;
	/** Whether late requests are sent again. */
	readonly hedge: boolean;
	/** Targets that a request may try without waiting, before it waits at one. */
	readonly immediateTries: number;
	/** Time between heartbeats that carry load figures; 0 for none, in milliseconds. */
	readonly heartbeatMs: number;
};

/** Why a request is sent. */
enum Purpose {
	/** To be answered. */
	First = 'first',
	/** It is late elsewhere. */
	Hedge = 'hedge',
	/** To measure a target that is set aside, beside a first sending. */
	Probe = 'probe',
}

/** One sending of a request. */
type Attempt = {
	readonly req: SimRequest;
	readonly id: string;
	readonly target: number;
	readonly sentAt: number;
	readonly purpose: Purpose;
	/** Targets tried before. */
	readonly tried: readonly number[];
	done: boolean;
};

type Instance = {
	readonly chooser: TargetSelector;
	readonly loads: LoadTable;
	readonly detector: StragglerDetector;
	readonly hedge: HedgePolicy;
	readonly budget: RetryBudget;
};

type GateEntry = QueueEntry & {readonly attempt: Attempt};

/**
 * A steward for each target alone sends to it; instances choose among the stewards.
 */
export class StewardDispatcher extends Dispatcher {
	/** Requests sent a second time. */
	hedges = 0;
	/** Tries that found no room. */
	refusedTries = 0;
	private readonly gates: Array<TargetAdmission<GateEntry>>;
	private readonly instances: Instance[];
	private readonly policy: StewardDispatcherOptions;
	/** Attempts that may be cancelled, by request. */
	private readonly open = new Map<SimRequest, Attempt[]>();
	private attempts = 0;

	constructor(world: SharedPoolSimulation, policy: StewardDispatcherOptions) {
		super(world);
		this.policy = policy;
		const {instances, targets, target} = world.cfg;
		const gateCfg = {slots: target.slots, queue: 32, callerShare: 1};
		this.gates = Array.from({length: targets}, () => new TargetAdmission<GateEntry>(gateCfg));
		this.instances = Array.from({length: instances}, (_, i) => this.newInstance(i));
		for (const gate of this.gates) {
			gate.handleGrant({incarnation: 'first', cold: false, sentAt: 0}, 0);
		}

		world.loop.scheduleEvery(tickMs, () => {
			this.tick();
		});
		if (policy.heartbeatMs > 0) {
			world.loop.scheduleEvery(policy.heartbeatMs, () => {
				this.heartbeat();
			});
		}
	}

	override send(req: SimRequest): void {
		const instance = this.instances[req.instance];
		const {now} = this.simulation.loop;
		instance.budget.deposit(now);
		const probe = this.policy.setAside ? instance.detector.claimProbe(now) : undefined;
		if (probe !== undefined && instance.budget.tryWithdraw(now)) {
			this.attempt(req, Number(probe), Purpose.Probe);
		}

		const chosen = this.choose(req, probe);
		if (chosen === undefined) {
			this.simulation.recordRefusal(req, 'no-target');
			return;
		}

		this.attempt(req, chosen);
		this.scheduleHedge(req, chosen);
	}

	private newInstance(idx: number): Instance {
		const budget = new RetryBudget();
		const detector = new StragglerDetector();
		for (const target of this.simulation.targets.keys()) {
			detector.add(String(target));
		}

		return {
			chooser: this.policy.selector(idx), loads: new LoadTable(), detector, hedge: new HedgePolicy(budget), budget,
		};
	}

	private choose(req: SimRequest, except?: string): number | undefined {
		const instance = this.instances[req.instance];
		const {now} = this.simulation.loop;
		const candidates: Candidate[] = this.gates.map((_, target) => {
			const name = String(target);
			const report = instance.loads.lastReport(name);
			const aside = this.policy.setAside && instance.detector.isSetAside(name);
			return {
				name,
				availability: aside ? Availability.SetAside : Availability.Available,
				load: instance.loads.load(name, now),
				limit: report?.limit ?? this.simulation.cfg.target.slots,
				serviceMs: report?.serviceMs,
			};
		});
		const chosen = instance.chooser.select(candidates, except);
		return chosen === undefined ? undefined : Number(chosen.name);
	}

	private attempt(req: SimRequest, target: number, purpose = Purpose.First, tried: readonly number[] = []): void {
		const {loop, cfg} = this.simulation;
		this.attempts += 1;
		const attempt: Attempt = {
			req, target, id: String(this.attempts), sentAt: loop.now, purpose, tried, done: false,
		};
		this.open.set(req, [...(this.open.get(req) ?? []), attempt]);
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

		const entry: GateEntry = {
			id,
			caller: 'all',
			repeat: Repeat.Idempotent,
			deadline: req.deadline,
			attempt,
			mayWait: attempt.purpose === Purpose.First && attempt.tried.length >= this.policy.immediateTries,
		};
		const admission = this.gates[target].offer(entry, this.simulation.loop.now);
		if (admission.kind === AdmissionKind.Start) {
			this.start(entry);
		} else if (admission.kind === AdmissionKind.Refused) {
			this.back(attempt, admission.error);
		}
	}

	private start(entry: GateEntry): void {
		const {loop, cfg, targets} = this.simulation;
		const {target} = entry.attempt;
		loop.schedule(cfg.intraDomainDelayMs, () => {
			targets[target].start(entry.id, () => {
				loop.schedule(cfg.intraDomainDelayMs, () => {
					this.apply(this.gates[target].finish(entry.id, {outcome: OrderOutcome.Answered}, loop.now));
					this.back(entry.attempt);
				});
			});
		});
	}

	private apply(step: AdmissionDecision<GateEntry>): void {
		for (const entry of step.start) {
			this.start(entry);
		}

		for (const {entry, error} of step.refuse) {
			this.back(entry.attempt, error);
		}
	}

	/** Carries an answer or a refusal back to the instance. */
	private back(attempt: Attempt, refusal?: string): void {
		const {loop, cfg} = this.simulation;
		const report = this.gates[attempt.target].load(loop.now);
		loop.schedule(cfg.networkDelayMs, () => {
			this.arrive(attempt, report, refusal);
		});
	}

	private arrive(attempt: Attempt, report: LoadReport, refusal?: string): void {
		const {now} = this.simulation.loop;
		const instance = this.instances[attempt.req.instance];
		const name = String(attempt.target);
		this.takeReport(instance, attempt.target, report);
		if (attempt.done) {
			return;
		}

		attempt.done = true;
		instance.loads.end(name);
		if (refusal === undefined) {
			instance.detector.recordAnswer(name, attempt.id, now);
			instance.hedge.recordLatency(now - attempt.sentAt);
			this.simulation.recordAnswer(attempt.req);
			this.cancelOthers(attempt);
		} else {
			instance.detector.recordCancelled(name, attempt.id, now);
			this.tryNext(attempt, refusal);
		}
	}

	/** Tries another target after one without room. */
	private tryNext(attempt: Attempt, refusal: string): void {
		if (attempt.req.ended || attempt.purpose === Purpose.Probe || attempt.tried.length >= this.policy.immediateTries) {
			this.refuse(attempt.req, refusal);
			return;
		}

		this.refusedTries += 1;
		const tried = [...attempt.tried, attempt.target];
		const next = this.choose(attempt.req, String(attempt.target)) ?? attempt.target;
		this.attempt(attempt.req, next, attempt.purpose, tried);
	}

	/** Refuses the caller when no other attempt is left. */
	private refuse(req: SimRequest, reason: string): void {
		const left = (this.open.get(req) ?? []).some(attempt => !attempt.done);
		if (!left) {
			this.open.delete(req);
			this.simulation.recordRefusal(req, reason);
		}
	}

	private cancelOthers(winner: Attempt): void {
		const {loop, cfg} = this.simulation;
		const {req} = winner;
		const others = (this.open.get(req) ?? []).filter(attempt => !attempt.done && attempt.purpose !== Purpose.Probe);
		this.open.delete(req);
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
		const gate = this.gates[attempt.target];
		if (gate.cancel(attempt.id) === CancelResult.InFlight) {
			loop.schedule(cfg.intraDomainDelayMs, () => {
				targets[attempt.target].cancel(attempt.id);
				this.apply(gate.finish(attempt.id, {outcome: OrderOutcome.Cancelled}, loop.now));
			});
		}
	}

	private scheduleHedge(req: SimRequest, first: number): void {
		const {loop} = this.simulation;
		const {hedge} = this.instances[req.instance];
		const candidate = {repeat: Repeat.Idempotent, sentAt: loop.now, deadline: req.deadline};
		const due = this.policy.hedge ? hedge.dueAt(candidate) : undefined;
		if (due === undefined) {
			return;
		}

		loop.schedule(due - loop.now, () => {
			if (!req.ended && hedge.allow(candidate, loop.now)) {
				this.hedges += 1;
				this.attempt(req, this.choose(req, String(first)) ?? first, Purpose.Hedge);
			}
		});
	}

	private takeReport(instance: Instance, target: number, report: LoadReport): void {
		const name = String(target);
		instance.loads.applyReport(name, report, this.simulation.loop.now);
		if (this.policy.heartbeatMs > 0) {
			instance.detector.recordServiceTime(name, report.serviceMs);
		}
	}

	private tick(): void {
		const {now} = this.simulation.loop;
		for (const gate of this.gates) {
			this.apply(gate.tick(now));
		}

		for (const instance of this.instances) {
			instance.detector.tick(now);
		}
	}

	private heartbeat(): void {
		const {loop, cfg} = this.simulation;
		for (const [target, gate] of this.gates.entries()) {
			const report = gate.load(loop.now);
			loop.schedule(cfg.networkDelayMs, () => {
				for (const instance of this.instances) {
					this.takeReport(instance, target, report);
				}
			});
		}
	}
}
