import {
	AdmissionKind, OrderOutcome, type QueueEntry, type AdmissionDecision, type TargetAdmission,
} from '@bluebellyard/core';
import type {EventLoop} from './event-loop.js';
import {ModelOutcome, type TargetModel} from './target-model.js';

/** Interval between grants, in milliseconds. */
const grantIntervalMs = 200;

/** Interval between grants while the slow-start limiter needs a grant, in milliseconds. */
const shortGrantIntervalMs = 50;

/** Interval between ticks, in milliseconds. */
const tickMs = 5;

/** Called at the end of a request, with the reason if it was refused. */
export type DoneCallback = (refusal?: string) => void;

/** A queue entry with the callback for its end. */
export type SimulatedEntry = QueueEntry & {readonly done: DoneCallback};

/** Runs the admission of one target against its model, as a steward does. */
export class AdmissionDriver {
	private readonly loop: EventLoop;
	private readonly target: TargetModel;
	private readonly admission: TargetAdmission<SimulatedEntry>;
	/** One-way network delay to the target, in milliseconds. */
	private readonly networkDelayMs: number;
	private lastGrantAt = Number.NEGATIVE_INFINITY;

	constructor(loop: EventLoop, target: TargetModel, admission: TargetAdmission<SimulatedEntry>, networkDelayMs: number) {
		this.loop = loop;
		this.target = target;
		this.admission = admission;
		this.networkDelayMs = networkDelayMs;
		loop.scheduleEvery(tickMs, () => {
			this.applyDecision(admission.tick(loop.now));
			this.requestGrantIfDue();
		});
	}

	/** Offers a request to the admission; calls `done` once. */
	submit(entry: QueueEntry, done: DoneCallback): void {
		const pending = {...entry, done};
		const result = this.admission.offer(pending, this.loop.now);
		if (result.kind === AdmissionKind.Start) {
			this.start(pending);
		} else if (result.kind === AdmissionKind.Refused) {
			done(result.error);
		}
	}

	private start(entry: SimulatedEntry): void {
		let isFinished = false;
		const finish = (outcome: OrderOutcome, refusal?: string): void => {
			if (!isFinished) {
				isFinished = true;
				this.applyDecision(this.admission.finish(entry.id, {outcome}, this.loop.now));
				entry.done(refusal);
			}
		};

		this.loop.schedule(this.networkDelayMs, () => {
			this.target.start(entry.id, modelOutcome => {
				this.loop.schedule(this.networkDelayMs, () => {
					finish(modelOutcome === ModelOutcome.Answered ? OrderOutcome.Answered : OrderOutcome.Lost, modelOutcome === ModelOutcome.Answered ? undefined : 'connection-lost');
				});
			});
		});
		if (Number.isFinite(entry.deadline)) {
			this.loop.schedule(entry.deadline - this.loop.now, () => {
				this.target.cancel(entry.id);
				finish(OrderOutcome.TimedOut, 'target-timeout');
			});
		}
	}

	private applyDecision(decision: AdmissionDecision<SimulatedEntry>): void {
		for (const entry of decision.start) {
			this.start(entry);
		}

		for (const {entry, error} of decision.refuse) {
			entry.done(error);
		}
	}

	private requestGrantIfDue(): void {
		const sentAt = this.loop.now;
		const intervalMs = this.admission.slowStart.needsGrant ? shortGrantIntervalMs : grantIntervalMs;
		if (sentAt - this.lastGrantAt < intervalMs) {
			return;
		}

		this.lastGrantAt = sentAt;
		this.loop.schedule(this.networkDelayMs, () => {
			const answer = {incarnation: String(this.target.incarnation), cold: this.target.isCold, sentAt};
			this.loop.schedule(this.networkDelayMs, () => {
				this.applyDecision(this.admission.handleGrant(answer, this.loop.now));
			});
		});
	}
}
