/**
 * Admission control for one target, or for the targets of one service in one failure domain.
 *
 * Under overload, a request that can't be answered in time is refused on arrival,
 * with the expected time until there is capacity. Waiting requests are started by
 * priority, and those that can still meet their objective before those that can't,
 * so that a burst does not make every request late.
 */
import type {QueueLoad} from '../balancing/index.js';
import {ErrorKind} from '../errors/index.js';
import {TeamShares} from '../teams/index.js';
import {findCheapestTarget} from './cheapest-target.js';
import {ExclusiveRuns} from './exclusive-runs.js';
import {
	findEligible, isEligible, mayRefuse, sumCapacity, type QueueState,
} from './queue-state.js';
import {
	createRefusal, isLate, minRetryAfterMs, type QueuedRequest, type RequestRefusal,
} from './queued-request.js';
import {assumedWorkMs, minCapacity, RecentWork} from './recent-work.js';
import {Reservations} from './reservations.js';
import {StartOrder} from './start-order.js';
import {TargetLimiter, type TargetLimiterCfg, type AttemptOutcome} from './target-limiter.js';

/** A request to send now, with the limiter of its target. */
export type RequestStart = {
	readonly request: QueuedRequest;
	readonly limiter: TargetLimiter;
};

/** Requests to start and to refuse after an event. */
export type QueueDecision = {
	readonly starts: readonly RequestStart[];
	readonly refusals: readonly RequestRefusal[];
};

/** Least share of the capacity that is assumed to be left for late requests, which those in time overtake. */
const minLateShare = 0.3;

/** Share of the expected wait of late requests that counts with reservations; the estimate is high while a machine is slow, and slots are idle afterwards. */
const reservingWaitShare = 0.5;

/** Share of the limits on requests per second that is used while another instance may use the rest of what the limits tolerate. */
const doubtfulShare = 0.5;

/** Time from becoming steward in which the former steward may still send, or has just sent, in milliseconds. */
const takeOverMs = 1100;

/** Longest time between two ticks while requests wait, in milliseconds. */
const maxTickMs = 50;

/** Queue in front of a group of targets; starts waiting requests as the limits of the targets allow. */
export class AdmissionQueue {
	/** Capacity kept for rejected callers; turned off unless `setEnabled` is called. */
	readonly reservations: Reservations;
	private readonly targets = new Map<string, TargetLimiter>();
	/** The same targets. */
	private targetList: readonly TargetLimiter[] = [];
	private readonly waiting = new Map<string, QueuedRequest>();
	private readonly exclusive = new ExclusiveRuns();
	private readonly shares = new TeamShares();
	private readonly work = new RecentWork();
	private isSteward = true;
	/** Share of the limits on requests per second that all targets have; undefined if a new one does not have it yet. */
	private rateShare: number | undefined;
	private stewardSince = Number.NEGATIVE_INFINITY;

	constructor(reservations = new Reservations()) {
		this.reservations = reservations;
	}

	/** Number of waiting requests. */
	get queued(): number {
		return this.waiting.size;
	}

	/** Number of requests in flight. */
	get inFlight(): number {
		let sum = 0;
		for (const limiter of this.targets.values()) {
			sum += limiter.inFlight;
		}

		return sum;
	}

	/** Returns the limiter of a target; undefined when the queue has no such target. */
	target(id: string): TargetLimiter | undefined {
		return this.targets.get(id);
	}

	/** Returns the limiters of all targets. */
	allTargets(): Iterable<TargetLimiter> {
		return this.targets.values();
	}

	/** Sets whether this instance is the steward of the queue; only the steward sends to targets with a limit on requests per second. */
	setSteward(isSteward: boolean, now: number): void {
		if (isSteward && !this.isSteward) {
			this.stewardSince = now;
		}

		this.isSteward = isSteward;
	}

	/** Updates the share of the limits on requests per second. `hasContact` is whether this instance would know of a successor as steward. */
	updateRateShare(hasContact: boolean, now: number): void {
		const share = hasContact && now - this.stewardSince >= takeOverMs ? 1 : doubtfulShare;
		if (share === this.rateShare) {
			return;
		}

		this.rateShare = share;
		for (const limiter of this.targets.values()) {
			limiter.setRateShare(share, now);
		}
	}

	/** Adds a target or changes its settings. */
	setTarget(cfg: TargetLimiterCfg): TargetLimiter {
		const known = this.targets.get(cfg.id);
		if (known !== undefined) {
			known.configure(cfg);
			return known;
		}

		const limiter = new TargetLimiter(cfg);
		this.targets.set(cfg.id, limiter);
		this.targetList = [...this.targets.values()];
		this.rateShare = undefined;
		return limiter;
	}

	/** Removes a target. Requests in flight there are not cancelled. */
	removeTarget(id: string): void {
		this.targets.get(id)?.close();
		this.targets.delete(id);
		this.targetList = [...this.targets.values()];
	}

	/** Offers a request. It waits unless the returned decision starts or refuses it. */
	offer(offered: QueuedRequest, now: number): QueueDecision {
		if (offered.team !== undefined) {
			this.shares.setCapacity(this.capacityOf(this.permittedTargets(now), now));
		}

		const request = this.reservations.claim(offered, now) ? {...offered, isReserved: true} : offered;
		const refusal = this.findRefusal(request, now);
		if (refusal !== undefined) {
			return {starts: [], refusals: [refusal]};
		}

		this.work.record(request, now);
		this.waiting.set(request.id, request);
		this.shares.add(request);
		if (request.isAlone === true) {
			this.exclusive.reserve(request, findEligible(this.permittedTargets(now), request, now), now);
		}

		return this.tick(now);
	}

	/** Records the end of a started request. `ratio` is described at `TargetLimiter.recordEnd`. */
	finish(limiter: TargetLimiter, outcome: AttemptOutcome, ratio: number, now: number): QueueDecision {
		limiter.recordEnd(outcome, ratio, now);
		this.exclusive.recordEnd(limiter);
		return this.tick(now);
	}

	/** Removes a waiting request; returns false when it does not wait here. */
	cancel(id: string): boolean {
		this.exclusive.release(id);
		const request = this.waiting.get(id);
		if (request !== undefined) {
			this.shares.remove(request);
		}

		return this.waiting.delete(id);
	}

	/** Starts the requests that may start and refuses those that can no longer be answered in time. */
	tick(now: number): QueueDecision {
		const starts: RequestStart[] = [];
		const permitted = this.permittedTargets(now);
		let open = permitted.filter(limiter => limiter.mayStart(now));
		for (;;) {
			const start = this.nextStart(open, now);
			if (start === undefined) {
				break;
			}

			this.waiting.delete(start.request.id);
			this.shares.start(start.request, start.tag);
			this.exclusive.recordStart(start.limiter, start.request, now);
			start.limiter.recordStart(now);
			starts.push(start);
			// A start changes only the limiter of its target.
			if (!start.limiter.mayStart(now)) {
				open = open.filter(limiter => limiter !== start.limiter);
			}
		}

		const refusals = this.refuseUnlikely(permitted, now);
		for (const {request} of refusals) {
			this.shares.remove(request);
			this.exclusive.release(request.id);
		}

		return {starts, refusals};
	}

	/** Returns the time until the next `tick`, in milliseconds; undefined when no request waits. */
	nextTick(now: number): number | undefined {
		if (this.waiting.size === 0) {
			return undefined;
		}

		let next = now + maxTickMs;
		for (const limiter of this.permittedTargets(now)) {
			next = Math.min(next, limiter.nextStartAt(now));
		}

		return Math.max(1, next - now);
	}

	/** Returns the expected wait of a new request with this priority that can meet its objective, in milliseconds. */
	expectedWait(priority: number, now: number): number {
		if ([...this.targets.values()].some(limiter => limiter.mayStart(now)) && this.waiting.size === 0) {
			return 0;
		}

		const permitted = this.permittedTargets(now);
		return this.estimateWait(request => request.priority <= priority && !isLate(request, now), {permitted, capacity: this.capacityOf(permitted, now), now});
	}

	/** Returns the capacity and the work ahead of a new request of the lowest priority. */
	load(now: number): QueueLoad {
		let waitingMs = 0;
		for (const request of this.waiting.values()) {
			waitingMs += request.workMs;
		}

		// On average, half of the work of a request in flight is done.
		return {capacity: this.capacityOf(this.permittedTargets(now), now), aheadMs: waitingMs + (this.inFlight * this.work.meanMs / 2)};
	}

	private estimateWait(isAhead: (request: QueuedRequest) => boolean, {permitted, capacity, now}: QueueState): number {
		let running = 0;
		let slots = 0;
		let nextStartAt = Number.POSITIVE_INFINITY;
		for (const limiter of permitted) {
			running += limiter.inFlight;
			slots += limiter.limit;
			nextStartAt = Math.min(nextStartAt, limiter.nextStartAt(now));
		}

		if (capacity === 0) {
			return Number.POSITIVE_INFINITY;
		}

		let ahead = 0;
		let mean = 0;
		for (const request of this.waiting.values()) {
			mean += request.workMs / this.waiting.size;
			if (isAhead(request)) {
				ahead += request.workMs;
			}
		}

		// On average, half of the work of a request in flight is done.
		const inService = running >= slots ? (mean || assumedWorkMs) / 2 / Math.max(1, slots) : 0;
		const delay = Number.isFinite(nextStartAt) ? Math.max(0, nextStartAt - now) : 0;
		return delay + (ahead / capacity) + inService;
	}

	/** Returns the targets that this instance may send to. */
	private permittedTargets(now: number): readonly TargetLimiter[] {
		return this.isSteward ? this.targetList : this.targetList.filter(limiter => !limiter.isRateLimited(now));
	}

	private findRefusal(request: QueuedRequest, now: number): RequestRefusal | undefined {
		const permitted = this.permittedTargets(now);
		const usable = findEligible(permitted, request, now);
		if (usable.length === 0) {
			return createRefusal(request, ErrorKind.NoTarget, minRetryAfterMs * 4);
		}

		if (this.waiting.size === 0 && usable.some(limiter => limiter.mayStart(now))) {
			return now >= request.deadline ? createRefusal(request, ErrorKind.DeadlinePassed, minRetryAfterMs) : undefined;
		}

		const quickest = Math.min(...usable.map(limiter => limiter.slowness.factor)) * request.workMs;
		const order = this.startOrder(now, request);
		const capacity = this.capacityOf(permitted, now);
		const wait = this.estimateWait(other => order.precedes(other, request), {permitted, capacity, now}) + this.reservedWait(request, capacity);
		const lateWait = wait / this.lateShare(capacity, now);
		const isInTime = now + wait + quickest <= request.objectiveAt || (request.isReserved === true && now + quickest <= request.deadline);
		if (isInTime || now + lateWait + quickest <= request.deadline) {
			return undefined;
		}

		return this.reject(request, ErrorKind.DeadlineTooClose, lateWait + quickest, now);
	}

	/** Returns the share of the capacity by which the waits of late requests are estimated. */
	private lateShare(capacity: number, now: number): number {
		const share = this.work.lateShare(capacity, minLateShare, now);
		return this.reservations.isEnabled ? share / reservingWaitShare : share;
	}

	private capacityOf(targets: readonly TargetLimiter[], now: number): number {
		return sumCapacity(targets, this.work.meanMs, now);
	}

	/** Returns the order of the waiting requests and, if given, a new one. */
	private startOrder(now: number, request?: QueuedRequest): StartOrder {
		const isTagged = this.shares.isActive || request?.team !== undefined;
		const requests = isTagged ? [...this.waiting.values(), ...(request === undefined ? [] : [request])] : [];
		return new StartOrder(this.shares, {requests, capacity: isTagged ? Math.max(minCapacity, this.capacityOf(this.permittedTargets(now), now)) : 0, now});
	}

	/** Returns the next request to start at one of the targets that may start one. */
	private nextStart(open: readonly TargetLimiter[], now: number): RequestStart & {readonly tag: number} | undefined {
		if (open.length === 0 || this.waiting.size === 0) {
			return undefined;
		}

		const order = this.startOrder(now);
		let best: QueuedRequest | undefined;
		for (const request of this.waiting.values()) {
			const mayStart = open.some(limiter => this.mayStartAt(limiter, request, now));
			if (mayStart && (best === undefined || order.precedes(request, best))) {
				best = request;
			}
		}

		if (best === undefined) {
			return undefined;
		}

		const request = best;
		const limiters = open.filter(limiter => this.mayStartAt(limiter, request, now));
		return {request, limiter: findCheapestTarget(limiters, now), tag: order.tagOf(request)};
	}

	private mayStartAt(limiter: TargetLimiter, request: QueuedRequest, now: number): boolean {
		return isEligible(limiter, request, now) && this.exclusive.admits(limiter, request, now);
	}

	/** Refuses requests that became late while they waited and can't be expected to be answered any more. */
	private refuseUnlikely(permitted: readonly TargetLimiter[], now: number): RequestRefusal[] {
		const refusals: RequestRefusal[] = [];
		if (this.waiting.size === 0) {
			return refusals;
		}

		const capacity = Math.max(minCapacity, this.capacityOf(permitted, now));
		const lateShare = this.lateShare(capacity, now);
		if (!mayRefuse(this.waiting.values(), {permitted, capacity: capacity * lateShare, now})) {
			return refusals;
		}

		const order = this.startOrder(now);
		const queue = [...this.waiting.values()].toSorted((a, b) => order.precedes(a, b) ? -1 : 1);
		let ahead = 0;
		for (const request of queue) {
			if (!permitted.some(limiter => isEligible(limiter, request, now))) {
				this.waiting.delete(request.id);
				refusals.push(createRefusal(request, ErrorKind.NoTarget, minRetryAfterMs * 4));
				continue;
			}

			const wait = ahead / capacity / lateShare;
			const isTooLate = now + (request.workMs / 2) > request.deadline;
			const isUnlikely = request.isReserved !== true && isLate(request, now) && now + wait + request.workMs > request.deadline;
			if (isTooLate || isUnlikely) {
				this.waiting.delete(request.id);
				refusals.push(this.reject(request, ErrorKind.DeadlinePassed, wait + request.workMs, now));
			} else {
				ahead += request.workMs;
			}
		}

		return refusals;
	}

	private reject(request: QueuedRequest, error: ErrorKind, neededMs: number, now: number): RequestRefusal {
		return this.reservations.reject(request, error, {
			neededMs, waiting: this.waiting.values(), capacity: this.capacityOf(this.permittedTargets(now), now), now,
		});
	}

	/** Returns the wait that callers with a reservation cause who have yet to come back, in milliseconds. */
	private reservedWait(request: QueuedRequest, capacity: number): number {
		const reservedMs = this.reservations.expectedWorkMs(request.priority);
		return reservedMs === 0 ? 0 : reservedMs / Math.max(minCapacity, capacity);
	}
}
