import {LatencyWindow} from './latency-window.js';

/** Answers that justify one more request in flight, at the least. */
const minAnswersPerStep = 4;

/** Answers that justify one more request in flight at a target that is cold or may be. */
const coldAnswersPerStep = 8;

/** Answers that justify one more request in flight, for each one already allowed. */
const answersPerSlot = 2;

/** How far above the reference a latency may lie and still count as normal. */
const tolerance = 1.25;

/** How far above the reference the latency of a target may lie that says it is warm. */
const warmTolerance = 2;

/** Ratio of the first latencies to the reference from which coldness can be seen in latencies. */
const visibleRatio = 1.5;

/** Ratio to the reference above which a warmed target may have turned cold. */
const suspectRatio = 4;

/** Samples from which a warmed target is judged. */
const suspectSamples = 12;

/** Share by which the target's own reference may rise in a millisecond. */
const referenceRise = 0.1 / 60_000;

/** Latency of a step relative to that of the step before, below which the target is still warming up. */
const plateauRatio = 0.85;

/** What the target answered to a grant. */
export type GrantReport = {
	readonly incarnation: string;
	readonly cold: boolean;
	/** Monotonic time at which the grant was sent, in milliseconds. */
	readonly sentAt: number;
};

/** One whole answer of the target. */
export type AnswerSample = {
	/** Monotonic time at which it was sent, in milliseconds. */
	readonly startedAt: number;
	/** Time from sending to the whole answer, in milliseconds. */
	readonly latency: number;
	/** Whether the limit was reached when it was sent. */
	readonly atLimit: boolean;
	/** Process life named by the answer. */
	readonly incarnation?: string;
};

/**
 * Limit of requests in flight for a target that may be cold.
 *
 * It starts at one and grows by one after a row of answers, each sent while the limit was reached.
 * How far it may grow depends on what the target said in its answer to the last grant:
 * - warm: up to the slots, unless its latencies contradict;
 * - cold: as far as its latencies show both that it has warmed up in proportion and that
 *   the work it takes fits (`k` times slower bears a `k`th of the slots); one when they show nothing;
 * - nothing yet: by its latencies alone, or without a reference once they no longer fall.
 *
 * The reference is the pool's, or else what the same target showed when it was warm.
 */
export class SlowStartLimiter {
	private slots: number;
	private current = 1;
	private changedAt = Number.NEGATIVE_INFINITY;
	private resetAt = Number.NEGATIVE_INFINITY;
	private incarnation: string | undefined;
	/** What the target said of itself since the last reset. */
	private saidCold: boolean | undefined;
	private referenceMs: number | undefined;
	/** Lowest median latency while it said that it is warm, in milliseconds; rises slowly. */
	private ownReferenceMs: number | undefined;
	private ownReferenceAt = 0;
	private readonly warmWindow = new LatencyWindow();
	private readonly stepWindow = new LatencyWindow();
	private readonly recent = new LatencyWindow(suspectSamples);
	private firstStepMs: number | undefined;
	private previousStepMs: number | undefined;
	private suspectSince: number | undefined;
	private vouched = false;

	/** `slots` is the limit of a warm target. */
	constructor(slots: number) {
		this.slots = slots;
	}

	/** Requests that may be in flight now. */
	get limit(): number {
		return Math.min(this.current, this.slots);
	}

	/** Whether a fresh grant answer would help: the target is cold, or slow for a reason not known. */
	get needsGrant(): boolean {
		return this.saidCold !== false || this.suspectSince !== undefined;
	}

	/** Sets the limit of a warm target. */
	setSlots(slots: number): void {
		this.slots = slots;
	}

	/** Sets the typical latency of warm targets of the pool, in milliseconds. */
	setReference(ms: number | undefined): void {
		this.referenceMs = ms;
	}

	/** Starts again at one; for a target that was lost, returned, restarted or refused work within its limit. */
	reset(now: number): void {
		this.firstStepMs = undefined;
		this.previousStepMs = undefined;
		this.suspectSince = undefined;
		this.saidCold = undefined;
		this.vouched = false;
		this.resetAt = now;
		this.recent.clear();
		this.warmWindow.clear();
		this.changeTo(1, now);
	}

	/** Takes the target's answer to a grant. */
	handleGrant(answer: GrantReport, now: number): void {
		const earlierReset = this.resetAt;
		if (this.handleIncarnation(answer.incarnation, now)) {
			this.resetAt = Math.max(earlierReset, answer.sentAt);
		}

		if (answer.cold) {
			this.saysCold(now);
		} else if (answer.sentAt >= this.resetAt) {
			this.saysWarm(answer.sentAt, now);
		}
	}

	/** Takes a whole answer. */
	handleAnswer(sample: AnswerSample, now: number): void {
		this.handleIncarnation(sample.incarnation, now);
		if (sample.startedAt < this.changedAt) {
			return;
		}

		this.recent.add(sample.latency);
		this.learnReference(sample.latency, now);
		this.judgeSlowness(now);
		if (sample.atLimit && this.current < this.slots) {
			this.stepWindow.add(sample.latency);
			this.maybeGrow(now);
		}
	}

	/**
	 * Takes a request that was given up before its answer. It counts as slow in the row of answers,
	 * for the quick ones that remain say nothing of those that were too slow to be seen.
	 */
	handleUnanswered(sample: Pick<AnswerSample, 'startedAt' | 'atLimit'>, now: number): void {
		if (sample.startedAt >= this.changedAt && sample.atLimit && this.current < this.slots) {
			this.stepWindow.add(Number.POSITIVE_INFINITY);
			this.maybeGrow(now);
		}
	}

	/** Takes a timeout that is the target's fault. */
	handleTimeout(now: number): void {
		this.changeTo(Math.max(1, Math.floor(this.limit / 2)), now);
	}

	/** Takes the process life that the target named; another one than before means a restart. True when it is another. */
	handleIncarnation(incarnation: string | undefined, now: number): boolean {
		if (incarnation === undefined || incarnation === this.incarnation) {
			return false;
		}

		this.incarnation = incarnation;
		this.reset(now);
		return true;
	}

	private saysCold(now: number): void {
		if (this.saidCold !== true) {
			this.reset(now);
			this.saidCold = true;
		}
	}

	private saysWarm(askedAt: number, now: number): void {
		this.saidCold = false;
		if (this.suspectSince !== undefined && askedAt >= this.suspectSince) {
			this.suspectSince = undefined;
			this.vouched = true;
			this.changeTo(this.slots, now);
		}
	}

	private maybeGrow(now: number): void {
		const least = this.saidCold === false ? minAnswersPerStep : coldAnswersPerStep;
		const {count} = this.stepWindow;
		if (count < Math.max(least, answersPerSlot * this.current)) {
			return;
		}

		const median = this.stepWindow.quantile(0.5) ?? 0;
		const upper = this.stepWindow.quantile(0.5 + (1 / Math.sqrt(count))) ?? 0;
		this.firstStepMs ??= median;
		if (this.current < this.room(median, upper)) {
			this.changeTo(this.current + 1, now);
		}

		this.previousStepMs = median;
		this.stepWindow.clear();
	}

	/** Requests in flight that the latencies of a step justify, by their median and an upper bound of it. */
	private room(median: number, upper: number): number {
		const ref = this.referenceMs ?? this.ownReferenceMs;
		if (this.saidCold === false) {
			const normal = ref === undefined || this.vouched || median <= ref * warmTolerance;
			return normal ? this.slots : this.roomByWork(median, ref);
		}

		if (this.saidCold === true) {
			return ref === undefined ? 1 : Math.min(this.roomByWork(upper, ref), this.roomByWarmth(upper, ref));
		}

		return ref === undefined ? this.roomBySettling(median) : this.roomByWork(upper, ref);
	}

	private roomByWork(latency: number, ref: number): number {
		return Math.floor(this.slots * ref * tolerance / latency);
	}

	private roomByWarmth(latency: number, ref: number): number {
		const first = this.firstStepMs ?? 0;
		if (first < ref * visibleRatio) {
			return 1;
		}

		const warmth = Math.min(1, (first - latency) / (first - ref));
		return 1 + Math.floor((this.slots - 1) * warmth);
	}

	private roomBySettling(median: number): number {
		const previous = this.previousStepMs;
		const settled = previous !== undefined && median >= previous * plateauRatio;
		return settled ? this.slots : 1;
	}

	/** Remembers how fast the target is when warm, for its next cold start. */
	private learnReference(latency: number, now: number): void {
		if (this.saidCold !== false || this.current < this.slots) {
			return;
		}

		this.warmWindow.add(latency);
		if (this.warmWindow.isFull) {
			const known = this.ownReferenceMs ?? Number.POSITIVE_INFINITY;
			const risen = known * (1 + ((now - this.ownReferenceAt) * referenceRise));
			this.ownReferenceMs = Math.min(risen, this.warmWindow.quantile(0.5) ?? risen);
			this.ownReferenceAt = now;
			this.warmWindow.clear();
		}
	}

	private judgeSlowness(now: number): void {
		const ref = this.referenceMs;
		const median = this.recent.quantile(0.5);
		if (ref === undefined || median === undefined || this.recent.count < suspectSamples) {
			return;
		}

		if (median <= ref * tolerance) {
			this.vouched = false;
			return;
		}

		if (median > ref * suspectRatio && !this.vouched && this.current > 1) {
			this.suspectSince = now;
			this.changeTo(Math.max(1, Math.floor(this.slots * ref / median)), now);
		}
	}

	private changeTo(limit: number, now: number): void {
		this.current = limit;
		this.changedAt = now;
		this.stepWindow.clear();
	}
}
