/**
 * Plays the load of one shared service without a network: failure domains with a dispatch queue each, instances that
 * choose a domain for each request with information that is some hundred milliseconds old, and demand that moves from
 * domain to domain.
 */
import {
	AdmissionQueue, AttemptOutcome, type QueueDecision, type RequestStart,
} from '../admission/index.js';
import {
	expectedWaitMs, type DomainCandidate, type DomainSelector, type QueueLoad,
} from '../balancing/index.js';
import {drawLogNormal, drawPoisson, seededRandom} from '../random/index.js';

/** The load and the targets. Times are milliseconds. */
export type DomainLoadCfg = {
	readonly seed: number;
	readonly durationMs: number;
	readonly domains: number;
	/** Instances of all domains. */
	readonly instances: number;
	/** Speed of each target of one domain; 1 is normal. */
	readonly speeds: readonly number[];
	readonly slots: number;
	/** Work that arrives in relation to the capacity of all targets. */
	readonly load: number;
	readonly workMs: number;
	/** Standard deviation of the logarithm of the work. */
	readonly spread: number;
	readonly objectiveMs: number;
	readonly timeoutMs: number;
	/** Demand of the busy domain in relation to the mean, by turns; the others share the rest evenly. */
	readonly demands: readonly number[];
	readonly turnMs: number;
	/** Bounds of the time after which an instance learns what the answer to its request tells. */
	readonly informationAgeMs: readonly [number, number];
	/** Time of a request or answer inside a domain and between domains. */
	readonly transitMs: readonly [number, number];
	readonly createSelector: () => DomainSelector;
};

/** What the selection of domains achieved; all are shares. */
export type DomainLoadResult = {
	/** Of the time: a queue is overloaded while another one has room. */
	readonly uneven: number;
	/** Of the requests: answered within the objective. */
	readonly inTime: number;
	/** Of the requests: refused by each domain that was tried. */
	readonly refused: number;
	/** Of the requests of a second: sent to another domain; the largest and the mean. */
	readonly largestRemote: number;
	readonly meanRemote: number;
};

type Instance = {readonly domain: number; readonly selector: DomainSelector};

type PlayedRequest = {
	readonly instance: Instance;
	readonly firstAt: number;
	readonly workMs: number;
	readonly tried: Set<string>;
};

type Visit = {
	readonly request: PlayedRequest;
	readonly candidate: DomainCandidate;
	readonly end: () => void;
	queuedAt: number;
};

type Queue = {readonly candidate: DomainCandidate; readonly admission: AdmissionQueue};

const tickMs = 5;

/** Time after the last arrival until which requests are played. */
const tailMs = 3000;

const msPerSecond = 1000;

/** Share of the objective above which an expected wait is an overload. */
const overloadShare = 0.5;

/** Share of the objective below which an expected wait is room. */
const roomShare = 0.25;

/** Share of the objective after which a refused request is not taken to another domain, as in the dispatcher. */
const retryShare = 0.5;

/** Plays one load. */
export class DomainLoad {
	private readonly random: () => number;
	private readonly queues: Queue[];
	private readonly instances: Instance[];
	private readonly visits = new Map<string, Visit>();
	/** Actions by the tick in which they are due. */
	private readonly agenda = new Map<number, Array<(now: number) => void>>();
	private nextId = 1;
	private second = {requests: 0, remote: 0};
	private readonly counts = {
		requests: 0, inTime: 0, refused: 0, remote: 0, ticks: 0, unevenTicks: 0, largestRemote: 0,
	};

	constructor(private readonly cfg: DomainLoadCfg) {
		this.random = seededRandom(cfg.seed);
		this.queues = Array.from({length: cfg.domains}, (_, domain) => {
			const admission = new AdmissionQueue();
			for (const i of cfg.speeds.keys()) {
				admission.setTarget({id: `d${domain}t${i}`, slots: cfg.slots, coldRate: 1000});
			}

			return {
				admission,
				candidate: {
					domain: `d${domain}`, queueId: `q${domain}`, targetCount: cfg.speeds.length, slots: cfg.speeds.length * cfg.slots, steward: `s${domain}`,
				},
			};
		});
		this.instances = Array.from({length: cfg.instances}, (_, i) => ({domain: i % cfg.domains, selector: cfg.createSelector()}));
	}

	/** Plays the whole duration. */
	run(): DomainLoadResult {
		const {durationMs} = this.cfg;
		for (let now = 0; now < durationMs + tailMs; now += tickMs) {
			const due = this.agenda.get(now) ?? [];
			this.agenda.delete(now);
			for (const act of due) {
				act(now);
			}

			if (now < durationMs) {
				this.arriveAll(now);
				this.observe(now);
			}

			for (const queue of this.queues) {
				this.apply(queue, queue.admission.tick(now), now);
			}
		}

		const {
			requests, inTime, refused, remote, ticks, unevenTicks, largestRemote,
		} = this.counts;
		return {
			uneven: unevenTicks / ticks, inTime: inTime / requests, refused: refused / requests, largestRemote, meanRemote: remote / requests,
		};
	}

	private arriveAll(now: number): void {
		const {
			domains, speeds, slots, load, workMs, demands, turnMs,
		} = this.cfg;
		const turn = Math.floor(now / turnMs);
		const demand = demands[turn % demands.length];
		const capacity = speeds.reduce((sum, speed) => sum + speed, 0) * slots;
		for (let domain = 0; domain < domains; domain += 1) {
			const factor = domain === turn % domains ? demand : (domains - demand) / (domains - 1);
			const own = this.instances.filter(instance => instance.domain === domain);
			for (let n = drawPoisson(this.random, factor * load * capacity / workMs * tickMs); n > 0; n -= 1) {
				this.arrive(own[Math.floor(this.random() * own.length)], now);
			}
		}
	}

	private arrive(instance: Instance, now: number): void {
		const {workMs, spread} = this.cfg;
		this.counts.requests += 1;
		this.second.requests += 1;
		this.send({
			instance, firstAt: now, workMs: drawLogNormal(this.random, workMs, spread), tried: new Set(),
		}, now);
	}

	private send(request: PlayedRequest, now: number): void {
		const {instance, tried} = request;
		const candidates = this.queues.map(({candidate}) => candidate).filter(({domain}) => !tried.has(domain));
		const {candidate} = instance.selector.select(candidates, {
			ownDomain: `d${instance.domain}`, objectiveMs: this.cfg.objectiveMs, now, random: this.random,
		})!;
		tried.add(candidate.domain);
		if (candidate.domain !== `d${instance.domain}`) {
			this.counts.remote += 1;
			this.second.remote += 1;
		}

		const end = instance.selector.recordSend(candidate, this.cfg.workMs);
		const queue = this.queues.find(other => other.candidate === candidate)!;
		this.schedule(now + this.transitMs(request, candidate), at => {
			this.offer(queue, {
				request, candidate, end, queuedAt: at,
			}, at);
		});
	}

	private offer(queue: Queue, visit: Visit, now: number): void {
		const {objectiveMs, timeoutMs, workMs} = this.cfg;
		const {firstAt} = visit.request;
		const id = String(this.nextId++);
		this.visits.set(id, visit);
		this.apply(queue, queue.admission.offer({
			id, priority: 1, objectiveAt: firstAt + objectiveMs, deadline: firstAt + timeoutMs, workMs,
		}, now), now);
	}

	private apply(queue: Queue, {starts, refusals}: QueueDecision, now: number): void {
		for (const start of starts) {
			const speed = this.cfg.speeds[Number(start.limiter.id.split('t')[1])];
			const {workMs} = this.visits.get(start.request.id)!.request;
			this.schedule(now + (workMs / speed), at => {
				this.finish(queue, start, {startedAt: now, now: at});
			});
		}

		for (const {request: {id}} of refusals) {
			const {request, candidate, end, queuedAt} = this.visits.get(id)!;
			const load = queue.admission.load(now);
			this.schedule(now + this.transitMs(request, candidate), at => {
				end();
				const isWorthTrying = request.tried.size < this.queues.length && at - request.firstAt <= this.cfg.objectiveMs * retryShare;
				if (isWorthTrying && now === queuedAt) {
					this.send(request, at);
				} else {
					this.counts.refused += 1;
				}
			});
			this.schedule(now + this.drawAge(), at => {
				request.instance.selector.recordRefusal(candidate, load, at);
			});
		}
	}

	private finish(queue: Queue, {request: {id}, limiter}: RequestStart, {startedAt, now}: {startedAt: number; now: number}): void {
		const {request, candidate, end, queuedAt} = this.visits.get(id)!;
		this.visits.delete(id);
		this.apply(queue, queue.admission.finish(limiter, AttemptOutcome.Answered, (now - startedAt) / this.cfg.workMs, now), now);
		const load: QueueLoad = queue.admission.load(now);
		const transitMs = this.transitMs(request, candidate);
		this.schedule(now + transitMs, at => {
			end();
			this.counts.inTime += at <= request.firstAt + this.cfg.objectiveMs ? 1 : 0;
		});
		this.schedule(now + this.drawAge(), at => {
			request.instance.selector.recordAnswer(candidate, startedAt - queuedAt, load, at);
		});
	}

	private observe(now: number): void {
		const {objectiveMs} = this.cfg;
		const waits = this.queues.map(({admission}) => expectedWaitMs(admission.load(now)));
		this.counts.ticks += 1;
		if (Math.max(...waits) > objectiveMs * overloadShare && Math.min(...waits) < objectiveMs * roomShare) {
			this.counts.unevenTicks += 1;
		}

		if ((now + tickMs) % msPerSecond === 0) {
			this.counts.largestRemote = Math.max(this.counts.largestRemote, this.second.remote / this.second.requests);
			this.second = {requests: 0, remote: 0};
		}
	}

	private transitMs({instance}: PlayedRequest, {domain}: DomainCandidate): number {
		return this.cfg.transitMs[domain === `d${instance.domain}` ? 0 : 1];
	}

	private drawAge(): number {
		const [least, most] = this.cfg.informationAgeMs;
		return least + (this.random() * (most - least));
	}

	private schedule(at: number, act: (now: number) => void): void {
		const tick = Math.ceil(at / tickMs) * tickMs;
		const list = this.agenda.get(tick) ?? [];
		this.agenda.set(tick, list);
		list.push(act);
	}
}
