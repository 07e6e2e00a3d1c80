import {RequestAgeEstimator} from '../admission/index.js';
import {LagMeter, lagTickMs, LocalAdmission} from '../overload/index.js';
import {seededRandom} from '../random/index.js';

/** Parameters of a run. */
export type BusyProcessCfg = {
	readonly seed: number;
	readonly durationMs: number;
	/** CPU time of the process, in cores. */
	readonly cores: number;
	/** CPU time of a served request, in milliseconds of a core; half of it before and half of it after the run at the target. */
	readonly servedMs: number;
	/** CPU time of a rejected request or of one whose caller has left, in milliseconds of a core. */
	readonly rejectedMs: number;
	/** First attempts in relation to those that the process can serve if it rejects none. */
	readonly load: number;
	/** Share of the first attempts by priority. */
	readonly shares: readonly number[];
	readonly objectiveMs: number;
	readonly timeoutMs: number;
	/** Mean time at the target, in milliseconds; single ones are between half and one and a half of it. */
	readonly workMs: number;
	/** Number of times that a rejected caller comes back. */
	readonly returns: number;
	/** Whether the process has the admission check. */
	readonly hasCheck: boolean;
	/** Time at which the process is frozen for 3 s, in milliseconds. */
	readonly freezeAt?: number;
};

/** What became of the callers. Lists are by priority. */
export type BusyProcessResult = {
	readonly callers: readonly number[];
	/** Callers that were answered within the objective, counted from their first attempt. */
	readonly inTime: readonly number[];
	readonly late: readonly number[];
	/** Admitted requests that were not answered before their deadline. */
	readonly dropped: number;
	readonly rejections: number;
	/** Time of the last rejection, in milliseconds; undefined without one. */
	readonly rejectedAt: number | undefined;
};

type Step = {
	readonly at: number;
	readonly isResponse: boolean;
	readonly priority: number;
	/** Time of the caller's first attempt and of this one, in milliseconds. */
	readonly firstAt: number;
	readonly sentAt: number;
	readonly returnsLeft: number;
};

const freezeMs = 3000;

/**
 * A process with a share of a core that passes requests to targets and their responses back, in simulated time. As an event
 * loop does, it calls a timer that is due, then works on all that has arrived by then, in order of arrival.
 */
export class BusyProcess {
	private readonly random: () => number;
	private readonly ages = new RequestAgeEstimator();
	private readonly meter = new LagMeter(0);
	private readonly admission = new LocalAdmission();
	/** Future steps, the next one at the end. */
	private readonly steps: Step[] = [];
	private now = 0;
	private tickAt = lagTickMs;
	private readonly callers: number[];
	private readonly inTime: number[];
	private readonly late: number[];
	private dropped = 0;
	private rejections = 0;
	private rejectedAt: number | undefined;
	private freezeAt: number;

	constructor(private readonly cfg: BusyProcessCfg) {
		this.random = seededRandom(cfg.seed);
		this.freezeAt = cfg.freezeAt ?? Number.POSITIVE_INFINITY;
		[this.callers, this.inTime, this.late] = Array.from({length: 3}, () => cfg.shares.map(() => 0));
	}

	/** Runs until all callers have an answer or have left. */
	run(): BusyProcessResult {
		this.addCallers();
		for (let next = this.steps.at(-1); next !== undefined; next = this.steps.at(-1)) {
			this.now = Math.max(this.now, Math.min(next.at, this.tickAt));
			if (this.now >= this.tickAt) {
				this.meter.tick(this.now);
				this.tickAt = this.now + lagTickMs;
			}

			for (const step of this.takeArrived()) {
				this.work(step);
			}
		}

		const {callers, inTime, late, dropped, rejections, rejectedAt} = this;
		return {
			callers, inTime, late, dropped, rejections, rejectedAt,
		};
	}

	private addCallers(): void {
		const {load, servedMs, cores, durationMs, shares, returns} = this.cfg;
		const meanGapMs = servedMs / cores / load;
		for (let at = this.drawGap(meanGapMs); at < durationMs; at += this.drawGap(meanGapMs)) {
			const priority = this.drawPriority(shares);
			this.callers[priority] += 1;
			this.steps.push({
				at, isResponse: false, priority, firstAt: at, sentAt: at, returnsLeft: returns,
			});
		}

		this.steps.reverse();
	}

	private drawGap(meanMs: number): number {
		return -Math.log(this.random()) * meanMs;
	}

	private drawPriority(shares: readonly number[]): number {
		let rest = this.random();
		return Math.max(0, shares.findIndex(share => {
			rest -= share;
			return rest < 0;
		}));
	}

	private add(step: Step): void {
		let idx = this.steps.length;
		while (idx > 0 && this.steps[idx - 1].at <= step.at) {
			idx -= 1;
		}

		this.steps.splice(idx, 0, step);
	}

	private takeArrived(): Step[] {
		const arrived: Step[] = [];
		for (let next = this.steps.at(-1); next !== undefined && next.at <= this.now; next = this.steps.at(-1)) {
			arrived.push(next);
			this.steps.pop();
		}

		return arrived;
	}

	private work(step: Step): void {
		if (this.now >= this.freezeAt) {
			this.now += freezeMs;
			this.freezeAt = Number.POSITIVE_INFINITY;
		}

		if (step.isResponse) {
			this.respond(step);
		} else {
			this.receive(step);
		}
	}

	private receive(step: Step): void {
		const {
			cores, rejectedMs, servedMs, workMs, timeoutMs, objectiveMs, hasCheck,
		} = this.cfg;
		const {priority, firstAt, sentAt} = step;
		const deadline = firstAt + timeoutMs;
		if (this.now > deadline) {
			this.now += rejectedMs / cores;
			return;
		}

		// The process knows how long the caller waits from the time of sending, but not when that was.
		const timeLeftMs = deadline - sentAt;
		const objectiveLeftMs = objectiveMs - this.ages.estimate('r', timeLeftMs);
		const request = {
			priority, objectiveLeftMs, timeLeftMs, workMs,
		};
		const rejection = hasCheck ? this.admission.check(request, this.meter.delayMs(this.now), this.now) : undefined;
		if (rejection === undefined) {
			this.now += servedMs / cores / 2;
			this.add({...step, at: this.now + (workMs * (0.5 + this.random())), isResponse: true});
			return;
		}

		this.now += rejectedMs / cores;
		this.rejections += 1;
		this.rejectedAt = this.now;
		const returnsAt = this.now + rejection.retryAfterMs;
		if (step.returnsLeft > 0 && returnsAt < deadline) {
			this.add({
				...step, at: returnsAt, sentAt: returnsAt, returnsLeft: step.returnsLeft - 1,
			});
		}
	}

	private respond({priority, firstAt}: Step): void {
		const {servedMs, cores, objectiveMs, timeoutMs} = this.cfg;
		this.now += servedMs / cores / 2;
		const tookMs = this.now - firstAt;
		if (tookMs <= objectiveMs) {
			this.inTime[priority] += 1;
		} else if (tookMs <= timeoutMs) {
			this.late[priority] += 1;
		} else {
			this.dropped += 1;
		}
	}
}
