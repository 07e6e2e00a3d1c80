import {LatencyWindow, computeQuantile} from './latency-window.js';

/** Settings of a straggler detector. */
export type StragglerCfg = {
	/** Ratio to the pool's median above which a target is slow. */
	readonly slowRatio: number;
	/** Ratio to the pool's median below which a set-aside target has recovered. */
	readonly recoveredRatio: number;
	/** Largest share of the pool that may be set aside, 0 to 1. */
	readonly maxShare: number;
	/** Number of samples, finished or outstanding, from which a target is evaluated. */
	readonly minSamples: number;
	/** Time between probes of a target that is set aside, in milliseconds. */
	readonly probeEveryMs: number;
	/** Consecutive fast answers to probes that show recovery. */
	readonly probes: number;
};

/** Default settings of one pool. */
export const defaultStragglerCfg: StragglerCfg = {
	slowRatio: 3, recoveredRatio: 2, maxShare: 0.3, minSamples: 3, probeEveryMs: 400, probes: 2,
};

/** Number of samples kept per target. */
const windowSize = 8;

/** Ratio to the slow bound above which a single outstanding request is sufficient evidence. */
const stuckRatio = 3;

/** Ratio to the slow bound with which a request overtaken by its hedge is recorded. */
const overtakenRatio = 1.01;

/** Evidence for which a target is set aside. */
enum Evidence {
	/** Latencies observed by this instance. */
	Own = 'own',
	/** Service times measured by the target's steward. */
	Steward = 'steward',
}

type Row = {
	readonly window: LatencyWindow;
	/** Start times of outstanding requests by id. */
	readonly outstanding: Map<string, number>;
	setAside?: Evidence;
	/** Service time measured by the steward, in milliseconds. */
	serviceMs?: number;
	probedAt: number;
	/** Consecutive fast answers since the target was set aside. */
	recovered: number;
	/** Ratio to the pool's median. */
	score: number;
	/** Evidence behind the score. */
	evidence: Evidence;
};

/**
 * Finds the targets of a pool that are slow compared with the pool's median,
 * by the latencies and outstanding requests that this instance observes
 * and by the service times that the stewards of the targets measure.
 */
export class StragglerDetector {
	private readonly cfg: StragglerCfg;
	private readonly rows = new Map<string, Row>();
	private medianMs: number | undefined;
	private serviceMedianMs: number | undefined;

	constructor(cfg: StragglerCfg = defaultStragglerCfg) {
		this.cfg = cfg;
	}

	/** Median of the targets' median latencies at the last tick, in milliseconds. */
	get poolMedianMs(): number | undefined {
		return this.medianMs;
	}

	/** Median of the service times measured by the stewards, in milliseconds; the reference latency of slow-start limits. */
	get serviceMedian(): number | undefined {
		return this.serviceMedianMs;
	}

	/** Adds a target of the pool. */
	add(target: string): void {
		if (!this.rows.has(target)) {
			const window = new LatencyWindow(windowSize);
			this.rows.set(target, {
				window, outstanding: new Map(), probedAt: Number.NEGATIVE_INFINITY, recovered: 0, score: 0, evidence: Evidence.Own,
			});
		}
	}

	/** Removes a target that left. */
	remove(target: string): void {
		this.rows.delete(target);
	}

	/** Records that a request was sent. */
	recordStart(target: string, id: string, now: number): void {
		this.rows.get(target)?.outstanding.set(id, now);
	}

	/** Records the complete answer to a request. */
	recordAnswer(target: string, id: string, now: number): void {
		const row = this.rows.get(target);
		const startedAt = row?.outstanding.get(id);
		if (row === undefined || startedAt === undefined) {
			return;
		}

		row.outstanding.delete(id);
		this.addLatency(row, now - startedAt);
	}

	/** Records the service time measured by the steward of a target, in milliseconds; 0 when the steward has none. */
	recordServiceTime(target: string, serviceMs: number): void {
		const row = this.rows.get(target);
		if (row !== undefined) {
			row.serviceMs = serviceMs > 0 ? serviceMs : undefined;
		}
	}

	/** Records a request that ended without an answer, such as a cancelled one; it counts as slow only if it was already late. */
	recordCancelled(target: string, id: string, now: number): void {
		const row = this.rows.get(target);
		const startedAt = row?.outstanding.get(id);
		if (row === undefined || startedAt === undefined) {
			return;
		}

		row.outstanding.delete(id);
		if (now - startedAt > this.slowBound()) {
			this.addLatency(row, now - startedAt);
		}
	}

	/**
	 * Records a request that was cancelled because its hedge was answered first.
	 * It counts as slow no matter how early it was cancelled; otherwise hedging would hide slow targets.
	 */
	recordOvertaken(target: string, id: string, now: number): void {
		const row = this.rows.get(target);
		const startedAt = row?.outstanding.get(id);
		if (row === undefined || startedAt === undefined) {
			return;
		}

		row.outstanding.delete(id);
		const bound = this.medianMs === undefined ? 0 : this.slowBound() * overtakenRatio;
		this.addLatency(row, Math.max(now - startedAt, bound));
	}

	/** Returns whether the target is set aside. */
	isSetAside(target: string): boolean {
		return this.rows.get(target)?.setAside !== undefined;
	}

	/** Returns the names of all targets that are set aside. */
	setAside(): string[] {
		return [...this.rows].filter(([, row]) => row.setAside !== undefined).map(([name]) => name);
	}

	/** Returns a set-aside target that is due for a probe and counts the probe as sent; undefined when none is due. */
	claimProbe(now: number): string | undefined {
		for (const [name, row] of this.rows) {
			const due = row.probedAt + this.cfg.probeEveryMs <= now;
			if (row.setAside !== undefined && due && row.outstanding.size === 0) {
				row.probedAt = now;
				return name;
			}
		}

		return undefined;
	}

	/** Evaluates all targets, in time linear in the targets and outstanding requests. */
	tick(now: number): void {
		this.medianMs = this.computeMedian(row => row.window.quantile(0.5)) ?? this.medianMs;
		this.serviceMedianMs = this.computeMedian(row => row.serviceMs);
		for (const row of this.rows.values()) {
			this.evaluate(row, now);
		}

		this.readmitRecovered();
		this.setSlowAside(now);
	}

	private addLatency(row: Row, latency: number): void {
		const bound = (this.medianMs ?? Number.POSITIVE_INFINITY) * this.cfg.recoveredRatio;
		row.window.add(latency);
		row.recovered = latency <= bound ? row.recovered + 1 : 0;
	}

	private slowBound(): number {
		return this.medianMs === undefined ? Number.POSITIVE_INFINITY : this.medianMs * this.cfg.slowRatio;
	}

	private computeMedian(getValue: (row: Row) => number | undefined): number | undefined {
		const values = [...this.rows.values()].map(row => getValue(row)).filter(value => value !== undefined);
		return computeQuantile(values.toSorted((a, b) => a - b), 0.5);
	}

	private evaluate(row: Row, now: number): void {
		const own = this.computeScore(row, now) / (this.medianMs ?? Number.POSITIVE_INFINITY);
		const steward = this.serviceRatio(row);
		row.score = Math.max(own, steward);
		row.evidence = steward >= own ? Evidence.Steward : Evidence.Own;
	}

	private serviceRatio(row: Row): number {
		return (row.serviceMs ?? 0) / (this.serviceMedianMs ?? Number.POSITIVE_INFINITY);
	}

	/** Returns the median of the finished latencies and the ages of late requests, in milliseconds; 0 when not known. */
	private computeScore(row: Row, now: number): number {
		const bound = this.slowBound();
		const ages = [...row.outstanding.values()].map(startedAt => now - startedAt);
		const oldest = Math.max(0, ...ages);
		if (oldest > bound * stuckRatio) {
			return oldest;
		}

		const late = ages.filter(age => age > bound);
		const samples = [...row.window.values(), ...late];
		if (samples.length < this.cfg.minSamples) {
			return 0;
		}

		return computeQuantile(samples.toSorted((a, b) => a - b), 0.5) ?? 0;
	}

	private readmitRecovered(): void {
		for (const row of this.rows.values()) {
			if (row.setAside !== undefined && this.hasRecovered(row)) {
				row.setAside = undefined;
				row.window.clear();
				row.score = 0;
			}
		}
	}

	private hasRecovered(row: Row): boolean {
		const {probes, recoveredRatio} = this.cfg;
		return row.setAside === Evidence.Steward ? this.serviceRatio(row) <= recoveredRatio : row.recovered >= probes;
	}

	private setSlowAside(now: number): void {
		const slow = [...this.rows.values()].filter(row => row.setAside === undefined && row.score > this.cfg.slowRatio);
		const available = Math.floor(this.rows.size * this.cfg.maxShare) - this.setAside().length;
		const worst = slow.toSorted((a, b) => b.score - a.score).slice(0, Math.max(0, available));
		for (const row of worst) {
			row.setAside = row.evidence;
			row.probedAt = now;
			row.recovered = 0;
			row.window.clear();
		}
	}
}
