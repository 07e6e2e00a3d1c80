import {
	AdmissionKind, OrderOutcome, type QueueEntry, type AdmissionDecision, type TargetAdmission,
} from '@bluebellyard/core';
import type {EventLoop} from './event-loop.js';
import {ModelOutcome, type TargetModel} from './target-model.js';

/** Time between two grants, in milliseconds. */
const renewMs = 200;

/** Time between two grants while the gate wants to know more, in milliseconds. */
const hurriedRenewMs = 50;

/** Time between two ticks, in milliseconds. */
const tickMs = 5;

/** Takes the end of a request; a refusal has a reason. */
export type DoneCallback = (refusal?: string) => void;

/** An entry that knows what to do at its end. */
export type SimulatedEntry = QueueEntry & {readonly done: DoneCallback};

/** Drives the gate of one target against its model, as a steward does. */
export class AdmissionDriver {
	private readonly loop: EventLoop;
	private readonly target: TargetModel;
	private readonly gate: TargetAdmission<SimulatedEntry>;
	/** One-way time to the target, in milliseconds. */
	private readonly hopMs: number;
	private renewedAt = Number.NEGATIVE_INFINITY;

	constructor(loop: EventLoop, target: TargetModel, gate: TargetAdmission<SimulatedEntry>, hopMs: number) {
		this.loop = loop;
		this.target = target;
		this.gate = gate;
		this.hopMs = hopMs;
		loop.scheduleEvery(tickMs, () => {
			this.apply(gate.tick(loop.now));
			this.maybeRenew();
		});
	}

	/** Offers a request; `done` is called once. */
	submit(entry: QueueEntry, done: DoneCallback): void {
		const item = {...entry, done};
		const admission = this.gate.offer(item, this.loop.now);
		if (admission.kind === AdmissionKind.Start) {
			this.start(item);
		} else if (admission.kind === AdmissionKind.Refused) {
			done(admission.error);
		}
	}

	private start(entry: SimulatedEntry): void {
		let isOver = false;
		const end = (ending: OrderOutcome, refusal?: string): void => {
			if (!isOver) {
				isOver = true;
				this.apply(this.gate.finish(entry.id, {outcome: ending}, this.loop.now));
				entry.done(refusal);
			}
		};

		this.loop.schedule(this.hopMs, () => {
			this.target.start(entry.id, how => {
				this.loop.schedule(this.hopMs, () => {
					end(how === ModelOutcome.Answered ? OrderOutcome.Answered : OrderOutcome.Lost, how === ModelOutcome.Answered ? undefined : 'connection-lost');
				});
			});
		});
		if (Number.isFinite(entry.deadline)) {
			this.loop.schedule(entry.deadline - this.loop.now, () => {
				this.target.cancel(entry.id);
				end(OrderOutcome.TimedOut, 'target-timeout');
			});
		}
	}

	private apply(step: AdmissionDecision<SimulatedEntry>): void {
		for (const entry of step.start) {
			this.start(entry);
		}

		for (const {entry, error} of step.refuse) {
			entry.done(error);
		}
	}

	private maybeRenew(): void {
		const askedAt = this.loop.now;
		const period = this.gate.slowStart.needsGrant ? hurriedRenewMs : renewMs;
		if (askedAt - this.renewedAt < period) {
			return;
		}

		this.renewedAt = askedAt;
		this.loop.schedule(this.hopMs, () => {
			const answer = {incarnation: String(this.target.incarnation), cold: this.target.isCold, sentAt: askedAt};
			this.loop.schedule(this.hopMs, () => {
				this.apply(this.gate.handleGrant(answer, this.loop.now));
			});
		});
	}
}
