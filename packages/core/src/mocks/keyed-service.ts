/**
 * Plays the load of one sharded service without a network: targets of different speed whose machines are noisy, a
 * dispatch queue each, callers that come back after a refusal, and a leader that moves keys by the measured load.
 */
import {
	AdmissionQueue, AttemptOutcome, WorkEstimator, type QueueDecision, type RequestStart,
} from '../admission/index.js';
import {
	KeyLoad, keyCount, OwnershipMap, planKeyMoves, recentHalfLifeMs, type EligibleOwner, type KeyMove, type KeyRates,
} from '../keyspace/index.js';
import {drawLogNormal, drawPoisson, seededRandom} from '../random/index.js';
import {PlayedRetries, type PlayedRejections, type PlayedRequest} from './played-retries.js';

/** A kind of request. Times are milliseconds. */
export type PlayedRoute = {
	readonly name: string;
	readonly perSecond: number;
	readonly workMs: number;
	/** Standard deviation of the logarithm of the work. */
	readonly spread: number;
	readonly objectiveMs: number;
	readonly timeoutMs: number;
	readonly priority: number;
};

/** A time in which a share of the requests is for a run of adjacent keys. */
export type HotRun = {
	readonly fromMs: number;
	readonly toMs: number;
	readonly share: number;
	readonly firstKey: number;
	readonly keys: number;
};

/** The load and the targets. */
export type KeyedServiceCfg = {
	readonly seed: number;
	readonly durationMs: number;
	/** Speed of each target; 1 is normal. */
	readonly speeds: readonly number[];
	readonly slots: number;
	/** Share of the time in which a machine is slow, and by which factor. */
	readonly noise: {readonly share: number; readonly factor: number; readonly windowMs: number};
	readonly routes: readonly PlayedRoute[];
	/** Exponent by which the popularity of keys falls with their rank; busy keys are adjacent. */
	readonly skew: number;
	readonly hotRuns: readonly HotRun[];
	/** Number of times that a caller comes back after a refusal. */
	readonly retries: number;
	/** Whether keys move away from a surge at once. */
	readonly detectsSurges?: boolean;
	/** Whether queues reserve capacity for callers that they reject. */
	readonly reservations?: boolean;
	/** Whether any target may serve any request, as the bound for all placements. */
	readonly isPooled?: boolean;
	/** Random rejections by targets. */
	readonly rejections?: PlayedRejections;
};

/** What callers got, as shares of all callers, and what it cost. */
export type KeyedServiceResult = {
	readonly inTime: number;
	readonly late: number;
	readonly unserved: number;
	/** Refusals of callers that came back, as a share of the times that callers came back: when they were told to, or once a third of their remaining time has passed. */
	readonly refusedAgain: number;
	readonly moves: number;
	readonly busiestToMean: number;
};

/** What one target did. */
export type TargetUse = {
	readonly speed: number;
	/** Share of all requests that were sent. */
	readonly requestShare: number;
	/** Share of the time of its slots in which they were in use. */
	readonly busyShare: number;
};

type Caller = {
	readonly route: PlayedRoute;
	readonly key: number;
	readonly firstAt: number;
	readonly workMs: number;
	attempts: number;
	/** The present request, where targets reject requests at random. */
	request?: PlayedRequest;
};

type Server = {
	readonly id: string;
	readonly speed: number;
	readonly queue: AdmissionQueue;
	readonly slowWindows: Set<number>;
	arrivals: number;
	/** Requests sent to it, and the time that they ran. */
	starts: number;
	busyMs: number;
};

type Run = {readonly server: Server; readonly start: RequestStart; readonly startedAt: number; readonly endsAt: number; readonly isRejected: boolean};

type Closure = {readonly move: KeyMove; readonly until: number};

const tickMs = 5;
/** Time after the last arrival until which requests and callers that come back are played. */
const tailMs = 3000;
const planIntervalMs = 500;
const surgePlanIntervalMs = 200;
/** Interval at which instances report the requested keys to the leader. */
const reportIntervalMs = 300;
/** Time in which a moved range is closed. */
const handoverMs = 150;
const distinctKeys = 60_000;
/** Time until a target rejects a request. */
const rejectMs = 5;
/** Delay before the gateway sends a rejected request again, times the number of sends, and the one that a rejected caller is told. */
const resendMs = 60;
const rejectedRetryMs = 100;

/** Plays one load. */
export class KeyedService {
	/** Decisions about rejected requests, and what callers got meanwhile; undefined if targets reject none. */
	readonly retries: PlayedRetries | undefined;
	private readonly random: () => number;
	private readonly servers: Server[];
	private readonly estimator = new WorkEstimator();
	private readonly load = new KeyLoad();
	private readonly recentLoad = new KeyLoad(recentHalfLifeMs);
	private map: OwnershipMap;
	private readonly callers = new Map<string, Caller>();
	private readonly running: Run[] = [];
	private returns: Array<{readonly at: number; readonly caller: Caller; readonly isResend?: boolean}> = [];
	private closures: Closure[] = [];
	private reported: Array<readonly [key: number, workMs: number]> = [];
	private nextId = 1;
	private moves = 0;
	private readonly counts = {
		callers: 0, inTime: 0, late: 0, unserved: 0, cameBack: 0, refusedAgain: 0,
	};

	constructor(private readonly cfg: KeyedServiceCfg) {
		this.random = seededRandom(cfg.seed);
		this.retries = cfg.rejections === undefined ? undefined : new PlayedRetries(cfg.rejections);
		const shared = new AdmissionQueue();
		this.servers = cfg.speeds.map((speed, i) => ({
			id: `t${i}`, speed, queue: cfg.isPooled === true ? shared : new AdmissionQueue(), slowWindows: this.drawSlowWindows(), arrivals: 0, starts: 0, busyMs: 0,
		}));
		for (const {id, queue} of this.servers) {
			queue.reservations.setEnabled(cfg.reservations === true);
			queue.setTarget({id, slots: cfg.slots, coldRate: 1000});
		}

		this.map = OwnershipMap.empty().assign(planKeyMoves(OwnershipMap.empty(), this.owners(), []), 1);
	}

	/** Plays the whole duration. */
	run(): KeyedServiceResult {
		const {durationMs, routes} = this.cfg;
		let fence = 2;
		for (let now = 0; now < durationMs + tailMs; now += tickMs) {
			this.endRequests(now);
			if (now < durationMs) {
				for (const route of routes) {
					for (let n = drawPoisson(this.random, route.perSecond * tickMs / 1000); n > 0; n -= 1) {
						this.arrive(route, now);
					}
				}
			}

			const due = this.returns.filter(({at}) => at <= now);
			this.returns = this.returns.filter(({at}) => at > now);
			for (const {caller, isResend} of due) {
				if (isResend !== true) {
					this.receive(caller, now);
				}

				this.offer(caller, now);
			}

			if (now % reportIntervalMs === 0) {
				for (const [key, workMs] of this.reported) {
					this.load.add(key, workMs, now);
					this.recentLoad.add(key, workMs, now);
				}

				this.reported = [];
			}

			if (now % (this.cfg.detectsSurges === true ? surgePlanIntervalMs : planIntervalMs) === 0 && now > 0 && this.cfg.isPooled !== true) {
				this.plan(now, fence);
				fence += 1;
			}

			for (const server of this.servers) {
				this.apply(server, server.queue.tick(now), now);
			}
		}

		const {callers, inTime, late, unserved, cameBack, refusedAgain} = this.counts;
		const arrivals = this.servers.map(server => server.arrivals);
		return {
			inTime: inTime / callers,
			late: late / callers,
			unserved: unserved / callers,
			refusedAgain: cameBack === 0 ? 0 : refusedAgain / cameBack,
			moves: this.moves,
			busiestToMean: Math.max(...arrivals) / (arrivals.reduce((sum, n) => sum + n, 0) / arrivals.length),
		};
	}

	/** Returns what each target did so far. */
	targetUse(): TargetUse[] {
		const starts = this.servers.reduce((sum, server) => sum + server.starts, 0);
		return this.servers.map(server => ({
			speed: server.speed, requestShare: server.starts / starts, busyShare: server.busyMs / this.cfg.durationMs / this.cfg.slots,
		}));
	}

	private owners(): EligibleOwner[] {
		return this.servers.map(({id, queue}) => ({id, capacity: queue.target(id)!.capacity}));
	}

	private plan(now: number, fence: number): void {
		const rates: KeyRates = this.load.rates(now);
		const recent = this.cfg.detectsSurges === true ? {rates: this.recentLoad.rates(now), loadPerRequest: this.recentLoad.loadPerRequest} : undefined;
		const moves = planKeyMoves(this.map, this.owners(), rates, recent);
		if (moves.length > 0) {
			this.moves += moves.length;
			this.map = this.map.assign(moves, fence);
			this.closures = [...this.closures.filter(({until}) => until > now), ...moves.map(move => ({move, until: now + handoverMs}))];
		}
	}

	private arrive(route: PlayedRoute, now: number): void {
		const workMs = drawLogNormal(this.random, route.workMs, route.spread);
		const caller = {
			route, key: this.drawKey(now), firstAt: now, workMs, attempts: 0,
		};
		this.counts.callers += 1;
		this.retries?.recordCaller(route.priority, now);
		this.receive(caller, now);
		this.offer(caller, now);
	}

	private receive(caller: Caller, now: number): void {
		const {route, firstAt} = caller;
		caller.request = this.retries?.receive(route.name, firstAt + route.timeoutMs - now, this.random, now);
	}

	private offer(caller: Caller, now: number): void {
		const {route, key, firstAt} = caller;
		const closure = this.closures.find(({move, until}) => until > now && key >= move.from && key <= move.to);
		if (closure !== undefined) {
			this.returns.push({at: closure.until, caller, isResend: true});
			return;
		}

		const id = String(this.nextId++);
		const expectedMs = this.estimator.estimate(route.name, route.objectiveMs);
		const {owner} = this.map.findByKey(key);
		const server = this.servers.find(candidate => candidate.id === owner)!;
		server.arrivals += 1;
		this.callers.set(id, caller);
		this.reported.push([key, expectedMs]);
		this.apply(server, server.queue.offer({
			id,
			priority: route.priority,
			objectiveAt: firstAt + route.objectiveMs,
			deadline: firstAt + route.timeoutMs,
			workMs: expectedMs,
			returnKey: `${route.name} ${key}`,
			hasReturned: caller.attempts > 0,
		}, now), now);
	}

	private apply(queueServer: Server, {starts, refusals}: QueueDecision, now: number): void {
		for (const start of starts) {
			const server = this.cfg.isPooled === true ? this.servers.find(({id}) => id === start.limiter.id)! : queueServer;
			const {workMs} = this.callers.get(start.request.id)!;
			const isRejected = this.retries?.rejects(this.random, now) === true;
			const endsAt = isRejected ? now + rejectMs : this.findEnd(server, now, workMs / server.speed);
			server.starts += 1;
			server.busyMs += endsAt - now;
			this.running.push({
				server, start, startedAt: now, endsAt, isRejected,
			});
		}

		for (const {request: {id}, retryAfterMs} of refusals) {
			this.reject(this.callers.get(id)!, retryAfterMs, now);
		}
	}

	private reject(caller: Caller, retryAfterMs: number, now: number): void {
		caller.attempts += 1;
		const leftMs = caller.firstAt + caller.route.timeoutMs - now;
		if (caller.attempts > 1) {
			this.counts.refusedAgain += 1;
		}

		if (caller.attempts <= this.cfg.retries && leftMs > 0) {
			this.counts.cameBack += 1;
			this.returns.push({at: now + Math.min(retryAfterMs, leftMs / 3), caller});
		} else {
			this.counts.unserved += 1;
		}
	}

	/** Sends a request again that its target rejected, or rejects its caller. */
	private resendOrReject({server, start: {request: {id, workMs}, limiter}}: Run, now: number): void {
		const caller = this.callers.get(id)!;
		const {route, firstAt} = caller;
		const request = caller.request!;
		request.sends += 1;
		if (this.retries!.mayRetry(request, {
			priority: route.priority, deadline: firstAt + route.timeoutMs, expectedMs: workMs, retryAfterMs: rejectedRetryMs,
		}, now)) {
			this.returns.push({at: now + (resendMs * request.sends), caller, isResend: true});
		} else {
			this.reject(caller, rejectedRetryMs, now);
		}

		this.apply(server, server.queue.finish(limiter, AttemptOutcome.Full, 1, now), now);
	}

	private endRequests(now: number): void {
		for (const run of this.running.filter(({endsAt}) => endsAt <= now)) {
			this.running.splice(this.running.indexOf(run), 1);
			if (run.isRejected) {
				this.resendOrReject(run, now);
				continue;
			}

			const {server, start: {request: {id, workMs}, limiter}, startedAt, endsAt} = run;
			const {route, firstAt} = this.callers.get(id)!;
			const tookMs = endsAt - startedAt;
			limiter.slowness.setReportedSlowdown(this.slowdown(server, now));
			const isAnswered = endsAt <= firstAt + route.timeoutMs;
			if (isAnswered) {
				const isInTime = endsAt <= firstAt + route.objectiveMs;
				this.counts[isInTime ? 'inTime' : 'late'] += 1;
				this.retries?.recordAnswer(route.priority, firstAt, isInTime);
				this.estimator.record(route.name, route.objectiveMs, tookMs / limiter.slowness.factor);
			} else {
				this.counts.unserved += 1;
			}

			this.apply(server, server.queue.finish(limiter, isAnswered ? AttemptOutcome.Answered : AttemptOutcome.TimedOut, tookMs / workMs, now), now);
		}
	}

	/** Returns when a request ends that needs the given time on a machine without noise. */
	private findEnd(server: Server, now: number, neededMs: number): number {
		let left = neededMs;
		let at = now;
		while (left > 0) {
			const slowdown = this.slowdown(server, at);
			const windowEnd = (Math.floor(at / this.cfg.noise.windowMs) + 1) * this.cfg.noise.windowMs;
			const done = (windowEnd - at) / slowdown;
			if (done >= left) {
				return at + (left * slowdown);
			}

			left -= done;
			at = windowEnd;
		}

		return at;
	}

	private slowdown({slowWindows}: Server, now: number): number {
		return slowWindows.has(Math.floor(now / this.cfg.noise.windowMs)) ? this.cfg.noise.factor : 1;
	}

	private drawSlowWindows(): Set<number> {
		const {durationMs, noise} = this.cfg;
		const windows = Array.from({length: Math.ceil((durationMs + 10_000) / noise.windowMs)}, (_, i) => i);
		return new Set(windows.filter(() => this.random() < noise.share));
	}

	private drawKey(now: number): number {
		const {hotRuns, skew} = this.cfg;
		const hot = hotRuns.find(({fromMs, toMs}) => now >= fromMs && now < toMs);
		if (hot !== undefined && this.random() < hot.share) {
			return hot.firstKey + Math.floor(this.random() * hot.keys);
		}

		// The sum of the weights of the first n ranks grows with n ** (1 - skew).
		const rank = Math.floor(distinctKeys * (this.random() ** (1 / (1 - skew))));
		return Math.min(keyCount - 1, Math.floor(rank * keyCount / distinctKeys));
	}
}
