import {LatencyWindow} from './latency-window.js';

/** Smallest number of answers before the limit may grow by one. */
const minAnswersPerStep = 4;

/** Smallest number of answers before the limit of a target that is or may be cold may grow by one. */
const coldAnswersPerStep = 8;

/** Number of answers before the limit may grow by one, per request already allowed in flight. */
const answersPerSlot = 2;

/** Ratio to the reference up to which a latency counts as normal. */
const tolerance = 1.25;

/** Ratio to the reference up to which the latency of a target that reports being warm is accepted. */
const warmTolerance = 2;

/** Ratio of the first latencies to the reference from which latencies show that a target is cold. */
const visibleRatio = 1.5;

/** Ratio to the reference above which a warm target may have become cold. */
const suspectRatio = 4;

/** Number of samples needed to check a warm target for slowness. */
const suspectSamples = 12;

/** Share by which the target's own reference may rise per millisecond. */
const referenceRise = 0.1 / 60_000;

/** Ratio of the latency at one step to that at the previous step below which the target is still warming up. */
const plateauRatio = 0.85;

/** Answer of the target to a grant. */
export type GrantReport = {
	readonly incarnation: string;
	readonly cold: boolean;
	/** Monotonic time at which the grant was sent, in milliseconds. */
	readonly sentAt: number;
};

/** One complete answer of the target. */
export type AnswerSample = {
	/** Monotonic time at which the request was sent, in milliseconds. */
	readonly startedAt: number;
	/** Time from sending to the complete answer, in milliseconds. */
	readonly latency: number;
	/** Whether the limit was reached when the request was sent. */
	readonly atLimit: boolean;
	/** Incarnation of the target named by the answer. */
	readonly incarnation?: string;
};

/**
 * Limits the requests in flight at a target that may be cold (slow start).
 *
 * The limit starts at one and grows by one after a series of answers to requests sent at the limit.
 * How far it may grow depends on what the target reported in its answer to the last grant:
 * - warm: up to the slots, unless its latencies contradict;
 * - cold: as far as its latencies show that it has warmed up in proportion and that the work fits
 *   (a target `k` times slower gets a `k`th of the slots); the limit stays at one when they show nothing;
 * - no report yet: by its latencies alone; without a reference, once they stop falling.
 *
 * The reference latency is that of the pool, or else that of the same target when it was warm.
 */
export class SlowStartLimiter {
	private slots: number;
	private current = 1;
	private changedAt = Number.NEGATIVE_INFINITY;
	private resetAt = Number.NEGATIVE_INFINITY;
	private incarnation: string | undefined;
	/** Whether the target reported that it is cold; undefined when it reported nothing since the last reset. */
	private reportedCold: boolean | undefined;
	private referenceMs: number | undefined;
	/** Lowest median latency while the target reported that it is warm, in milliseconds; rises slowly. */
	private ownReferenceMs: number | undefined;
	private ownReferenceAt = 0;
	private readonly warmWindow = new LatencyWindow();
	private readonly stepWindow = new LatencyWindow();
	private readonly recent = new LatencyWindow(suspectSamples);
	private firstStepMs: number | undefined;
	private previousStepMs: number | undefined;
	private suspectSince: number | undefined;
	private isConfirmedWarm = false;

	/** Creates a limiter; `slots` is the limit of a warm target. */
	constructor(slots: number) {
		this.slots = slots;
	}

	/** Requests that may be in flight now. */
	get limit(): number {
		return Math.min(this.current, this.slots);
	}

	/** Whether a new answer to a grant is needed: the target may be cold, or it is slow for an unknown reason. */
	get needsGrant(): boolean {
		return this.reportedCold !== false || this.suspectSince !== undefined;
	}

	/** Sets the limit of a warm target. */
	setSlots(slots: number): void {
		this.slots = slots;
	}

	/** Sets the typical latency of warm targets of the pool, in milliseconds. */
	setReference(ms: number | undefined): void {
		this.referenceMs = ms;
	}

	/** Resets the limit to one, for a target that was lost, came back, restarted or refused a request within its limit. */
	reset(now: number): void {
		this.firstStepMs = undefined;
		this.previousStepMs = undefined;
		this.suspectSince = undefined;
		this.reportedCold = undefined;
		this.isConfirmedWarm = false;
		this.resetAt = now;
		this.recent.clear();
		this.warmWindow.clear();
		this.setLimit(1, now);
	}

	/** Handles the target's answer to a grant. */
	handleGrant(answer: GrantReport, now: number): void {
		const previousResetAt = this.resetAt;
		if (this.handleIncarnation(answer.incarnation, now)) {
			this.resetAt = Math.max(previousResetAt, answer.sentAt);
		}

		if (answer.cold) {
			this.handleCold(now);
		} else if (answer.sentAt >= this.resetAt) {
			this.handleWarm(answer.sentAt, now);
		}
	}

	/** Handles a complete answer. */
	handleAnswer(sample: AnswerSample, now: number): void {
		this.handleIncarnation(sample.incarnation, now);
		if (sample.startedAt < this.changedAt) {
			return;
		}

		this.recent.add(sample.latency);
		this.updateOwnReference(sample.latency, now);
		this.checkSlowness(now);
		if (sample.atLimit && this.current < this.slots) {
			this.stepWindow.add(sample.latency);
			this.growIfJustified(now);
		}
	}

	/**
	 * Handles a request that was cancelled or timed out. It counts as slow in the series of answers;
	 * otherwise only the fast answers would count.
	 */
	handleUnanswered(sample: Pick<AnswerSample, 'startedAt' | 'atLimit'>, now: number): void {
		if (sample.startedAt >= this.changedAt && sample.atLimit && this.current < this.slots) {
			this.stepWindow.add(Number.POSITIVE_INFINITY);
			this.growIfJustified(now);
		}
	}

	/** Halves the limit after a timeout that is caused by the target. */
	handleTimeout(now: number): void {
		this.setLimit(Math.max(1, Math.floor(this.limit / 2)), now);
	}

	/** Handles the incarnation that the target named; a new one means a restart and resets the limit. Returns whether it is new. */
	handleIncarnation(incarnation: string | undefined, now: number): boolean {
		if (incarnation === undefined || incarnation === this.incarnation) {
			return false;
		}

		this.incarnation = incarnation;
		this.reset(now);
		return true;
	}

	private handleCold(now: number): void {
		if (this.reportedCold !== true) {
			this.reset(now);
			this.reportedCold = true;
		}
	}

	private handleWarm(askedAt: number, now: number): void {
		this.reportedCold = false;
		if (this.suspectSince !== undefined && askedAt >= this.suspectSince) {
			this.suspectSince = undefined;
			this.isConfirmedWarm = true;
			this.setLimit(this.slots, now);
		}
	}

	private growIfJustified(now: number): void {
		const least = this.reportedCold === false ? minAnswersPerStep : coldAnswersPerStep;
		const {count} = this.stepWindow;
		if (count < Math.max(least, answersPerSlot * this.current)) {
			return;
		}

		const median = this.stepWindow.quantile(0.5) ?? 0;
		const upper = this.stepWindow.quantile(0.5 + (1 / Math.sqrt(count))) ?? 0;
		this.firstStepMs ??= median;
		if (this.current < this.justifiedLimit(median, upper)) {
			this.setLimit(this.current + 1, now);
		}

		this.previousStepMs = median;
		this.stepWindow.clear();
	}

	/** Returns the limit that the latencies of a step justify, by their median and an upper bound of the median. */
	private justifiedLimit(median: number, upper: number): number {
		const ref = this.referenceMs ?? this.ownReferenceMs;
		if (this.reportedCold === false) {
			const normal = ref === undefined || this.isConfirmedWarm || median <= ref * warmTolerance;
			return normal ? this.slots : this.limitByWork(median, ref);
		}

		if (this.reportedCold === true) {
			return ref === undefined ? 1 : Math.min(this.limitByWork(upper, ref), this.limitByWarmth(upper, ref));
		}

		return ref === undefined ? this.limitBySettling(median) : this.limitByWork(upper, ref);
	}

	private limitByWork(latency: number, ref: number): number {
		return Math.floor(this.slots * ref * tolerance / latency);
	}

	private limitByWarmth(latency: number, ref: number): number {
		const first = this.firstStepMs ?? 0;
		if (first < ref * visibleRatio) {
			return 1;
		}

		const warmth = Math.min(1, (first - latency) / (first - ref));
		return 1 + Math.floor((this.slots - 1) * warmth);
	}

	private limitBySettling(median: number): number {
		const previous = this.previousStepMs;
		const hasSettled = previous !== undefined && median >= previous * plateauRatio;
		return hasSettled ? this.slots : 1;
	}

	/** Updates the reference latency of the warm target, for its next cold start. */
	private updateOwnReference(latency: number, now: number): void {
		if (this.reportedCold !== false || this.current < this.slots) {
			return;
		}

		this.warmWindow.add(latency);
		if (this.warmWindow.isFull) {
			const known = this.ownReferenceMs ?? Number.POSITIVE_INFINITY;
			const raised = known * (1 + ((now - this.ownReferenceAt) * referenceRise));
			this.ownReferenceMs = Math.min(raised, this.warmWindow.quantile(0.5) ?? raised);
			this.ownReferenceAt = now;
			this.warmWindow.clear();
		}
	}

	private checkSlowness(now: number): void {
		const ref = this.referenceMs;
		const median = this.recent.quantile(0.5);
		if (ref === undefined || median === undefined || this.recent.count < suspectSamples) {
			return;
		}

		if (median <= ref * tolerance) {
			this.isConfirmedWarm = false;
			return;
		}

		if (median > ref * suspectRatio && !this.isConfirmedWarm && this.current > 1) {
			this.suspectSince = now;
			this.setLimit(Math.max(1, Math.floor(this.slots * ref / median)), now);
		}
	}

	private setLimit(limit: number, now: number): void {
		this.current = limit;
		this.changedAt = now;
		this.stepWindow.clear();
	}
}
