/**
 * Admission to one target, or to the targets of one service in one failure domain.
 *
 * Answers overload: what can't be answered in time is refused when it arrives,
 * with the time at which there will be room. Among what waits, urgent work goes
 * first, and requests that can still meet their objective go before those that
 * can't, so that a burst does not make every request late.
 */
import {ErrorKind} from '../errors/index.js';
import {TargetLimiter, type TargetLimiterCfg, type AttemptOutcome} from './target-limiter.js';

/** A request as the gate sees it. All times are monotonic milliseconds. */
export type QueuedRequest = {
	/** Unique among the requests that the gate holds. */
	readonly id: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Time by which an answer is of full use. */
	readonly objectiveAt: number;
	/** Time by which an answer is worthless. */
	readonly deadline: number;
	/** Expected time on an idle target of usual speed. */
	readonly workMs: number;
	/** Targets that must not get it. */
	readonly excluded?: ReadonlySet<string>;
	/** Whether cold targets must not get it: somebody else counts what they get. */
	readonly isWarmOnly?: boolean;
};

/** A request that is to be sent now. */
export type RequestStart = {
	readonly request: QueuedRequest;
	readonly limiter: TargetLimiter;
};

/** A request that will not be sent. */
export type RequestRefusal = {
	readonly request: QueuedRequest;
	readonly error: ErrorKind;
	/** When there is expected to be room, from now, in milliseconds. */
	readonly retryAfterMs: number;
};

/** What follows from an event. */
export type QueueDecision = {
	readonly starts: readonly RequestStart[];
	readonly refusals: readonly RequestRefusal[];
};

/** Share by which work may take longer than expected and still meet the objective. */
const workMargin = 1.25;

/**
 * Expected time until the answer, in relation to the time left, beyond which a late request is refused at once.
 * Requests that can still be in time overtake it, so that the expectation is short.
 */
const lateShare = 0.5;

/** Part of the time between objective and deadline that is left to a late request when it is refused: enough for its caller to try again. */
const overtakenShare = 0.6;

/** Bounds of the time after which a caller is asked to come back, in milliseconds. */
const minRetryAfterMs = 50;
const maxRetryAfterMs = 2000;

/** Least capacity that a group of targets is taken to have. */
const minCapacity = 0.1;

/** Longest time between two ticks while something waits, in milliseconds. */
const maxTickMs = 50;

/** Queue and slots of a group of targets. */
export class AdmissionQueue {
	private readonly lanes = new Map<string, TargetLimiter>();
	private readonly waiting = new Map<string, QueuedRequest>();

	/** Requests that wait. */
	get queued(): number {
		return this.waiting.size;
	}

	/** Requests in flight. */
	get inFlight(): number {
		let sum = 0;
		for (const lane of this.lanes.values()) {
			sum += lane.inFlight;
		}

		return sum;
	}

	/** The target with this id. */
	target(id: string): TargetLimiter | undefined {
		return this.lanes.get(id);
	}

	/** All targets. */
	allTargets(): Iterable<TargetLimiter> {
		return this.lanes.values();
	}

	/** Adds a target or changes its settings. */
	setTarget(cfg: TargetLimiterCfg): TargetLimiter {
		const known = this.lanes.get(cfg.id);
		if (known !== undefined) {
			known.configure(cfg);
			return known;
		}

		const lane = new TargetLimiter(cfg);
		this.lanes.set(cfg.id, lane);
		return lane;
	}

	/** Removes a target; what runs there ends by itself. */
	removeTarget(id: string): void {
		this.lanes.get(id)?.close();
		this.lanes.delete(id);
	}

	/** Asks for a request to be sent. It may start, wait, or be refused in the step that this returns. */
	offer(item: QueuedRequest, now: number): QueueDecision {
		const refusal = this.refusalFor(item, now);
		if (refusal !== undefined) {
			return {starts: [], refusals: [refusal]};
		}

		this.waiting.set(item.id, item);
		return this.tick(now);
	}

	/** Takes the end of a started request; `ratio` as for `Lane.finish`. */
	finish(lane: TargetLimiter, ending: AttemptOutcome, ratio: number, now: number): QueueDecision {
		lane.recordEnd(ending, ratio, now);
		return this.tick(now);
	}

	/** Gives up a request that waits; false when it does not wait here. */
	cancel(id: string): boolean {
		return this.waiting.delete(id);
	}

	/** Starts what may start and refuses what can no longer be served. */
	tick(now: number): QueueDecision {
		const starts: RequestStart[] = [];
		for (;;) {
			const start = this.nextStart(now);
			if (start === undefined) {
				break;
			}

			this.waiting.delete(start.request.id);
			start.limiter.recordStart(now);
			starts.push(start);
		}

		return {starts, refusals: this.expire(now)};
	}

	/** Milliseconds until `tick` is due; undefined when nothing waits. */
	nextTick(now: number): number | undefined {
		if (this.waiting.size === 0) {
			return undefined;
		}

		let next = now + maxTickMs;
		for (const lane of this.lanes.values()) {
			next = Math.min(next, lane.nextStartAt(now));
		}

		return Math.max(1, next - now);
	}

	/** Expected wait of a new request with this priority that is in time, in milliseconds. */
	expectedWait(priority: number, now: number): number {
		if ([...this.lanes.values()].some(lane => lane.mayStart(now)) && this.waiting.size === 0) {
			return 0;
		}

		return this.waitBehind(item => item.priority <= priority && !isLate(item, now), now);
	}

	private waitBehind(isAhead: (item: QueuedRequest) => boolean, now: number): number {
		const capacity = this.capacity();
		let busy = 0;
		let slots = 0;
		let opensAt = Number.POSITIVE_INFINITY;
		for (const lane of this.lanes.values()) {
			busy += lane.inFlight;
			slots += lane.limit;
			opensAt = Math.min(opensAt, lane.nextStartAt(now));
		}

		if (capacity === 0) {
			return Number.POSITIVE_INFINITY;
		}

		let ahead = 0;
		let mean = 0;
		for (const item of this.waiting.values()) {
			mean += item.workMs / this.waiting.size;
			if (isAhead(item)) {
				ahead += item.workMs;
			}
		}

		// Requests in flight are on average half done.
		const inService = busy >= slots ? (mean || this.typicalWork()) / 2 / Math.max(1, slots) : 0;
		const held = Number.isFinite(opensAt) ? Math.max(0, opensAt - now) : 0;
		return held + (ahead / capacity) + inService;
	}

	private typicalWork(): number {
		return 100;
	}

	private refusalFor(item: QueuedRequest, now: number): RequestRefusal | undefined {
		const usable = [...this.lanes.values()].filter(lane => mayUse(lane, item, now));
		if (usable.length === 0) {
			return refuse(item, ErrorKind.NoTarget, minRetryAfterMs * 4);
		}

		const quickest = Math.min(...usable.map(lane => lane.slowness.factor)) * item.workMs;
		if (this.waiting.size === 0 && usable.some(lane => lane.mayStart(now))) {
			return now >= item.deadline ? refuse(item, ErrorKind.DeadlinePassed, minRetryAfterMs) : undefined;
		}

		const wait = this.waitBehind(other => goesBefore(other, item, now), now);
		const left = item.deadline - now;
		const isInTime = now + wait + quickest <= item.objectiveAt;
		if (isInTime || (wait + quickest <= left * lateShare)) {
			return undefined;
		}

		return refuse(item, ErrorKind.DeadlineTooClose, wait);
	}

	private nextStart(now: number): RequestStart | undefined {
		const open = [...this.lanes.values()].filter(lane => lane.mayStart(now));
		if (open.length === 0 || this.waiting.size === 0) {
			return undefined;
		}

		let best: QueuedRequest | undefined;
		for (const item of this.waiting.values()) {
			const mayStart = open.some(lane => mayUse(lane, item, now));
			if (mayStart && (best === undefined || goesBefore(item, best, now))) {
				best = item;
			}
		}

		if (best === undefined) {
			return undefined;
		}

		const item = best;
		const lanes = open.filter(lane => mayUse(lane, item, now));
		return {request: item, limiter: lanes.toSorted((a, b) => laneCost(a) - laneCost(b))[0]};
	}

	/** Refuses what became late while it waited and is not expected to be served either, soon enough for another try. */
	private expire(now: number): RequestRefusal[] {
		const refusals: RequestRefusal[] = [];
		if (this.waiting.size === 0) {
			return refusals;
		}

		const capacity = this.capacity();
		const queue = [...this.waiting.values()].toSorted((a, b) => goesBefore(a, b, now) ? -1 : 1);
		let ahead = 0;
		for (const item of queue) {
			const wait = ahead / Math.max(capacity, minCapacity);
			const isHopeless = now + (item.workMs / 2) > item.deadline;
			const left = item.deadline - now;
			const isOvertaken = left < (item.deadline - item.objectiveAt) * overtakenShare;
			const isUnlikely = isLate(item, now) && (isOvertaken || wait + item.workMs > left * lateShare);
			if (isHopeless || isUnlikely) {
				this.waiting.delete(item.id);
				refusals.push(refuse(item, ErrorKind.DeadlinePassed, wait));
			} else {
				ahead += item.workMs;
			}
		}

		return refusals;
	}

	/** Work that all targets do in a millisecond, in milliseconds of usual speed. */
	private capacity(): number {
		let capacity = 0;
		for (const lane of this.lanes.values()) {
			capacity += lane.limit / lane.slowness.factor;
		}

		return capacity;
	}
}

function mayUse(lane: TargetLimiter, {excluded, isWarmOnly}: QueuedRequest, now: number): boolean {
	return excluded?.has(lane.id) !== true && !(isWarmOnly === true && lane.coldLimiter.isCold(now));
}

/** Cheaper lanes are faster at the moment and emptier. */
function laneCost(lane: TargetLimiter): number {
	return lane.slowness.factor * (1 + (lane.inFlight / Math.max(1, lane.limit)));
}

/** Whether a request that starts now is expected to miss its objective. */
function isLate(item: QueuedRequest, now: number): boolean {
	return now + (item.workMs * workMargin) > item.objectiveAt;
}

/** Order of what waits: in time before late, then by priority, then by the time at which it is late or worthless. */
function goesBefore(a: QueuedRequest, b: QueuedRequest, now: number): boolean {
	const lateA = isLate(a, now);
	if (lateA !== isLate(b, now)) {
		return !lateA;
	}

	if (a.priority !== b.priority) {
		return a.priority < b.priority;
	}

	return lateA ? a.deadline < b.deadline : a.objectiveAt < b.objectiveAt;
}

function refuse(item: QueuedRequest, error: ErrorKind, waitMs: number): RequestRefusal {
	const retryAfterMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs));
	return {request: item, error, retryAfterMs};
}
