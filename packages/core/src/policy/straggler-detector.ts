import {LatencyWindow, quantileOf} from './latency-window.js';

/** Settings of a straggler detector. */
export type StragglerCfg = {
	/** Ratio to the pool's median above which a target is slow. */
	readonly slowRatio: number;
	/** Ratio to the pool's median below which a set-aside target has recovered. */
	readonly recoveredRatio: number;
	/** Largest share of the pool that may be set aside, 0 to 1. */
	readonly maxShare: number;
	/** Samples, finished or outstanding, from which a target is judged. */
	readonly minSamples: number;
	/** Time between probes of a set-aside target, in milliseconds. */
	readonly probeEveryMs: number;
	/** Answers to probes that show recovery. */
	readonly probes: number;
};

/** Settings of one pool unless the operators say otherwise. */
export const defaultStragglerCfg: StragglerCfg = {
	slowRatio: 3, recoveredRatio: 2, maxShare: 0.3, minSamples: 3, probeEveryMs: 400, probes: 2,
};

/** Samples kept for each target. */
const windowSize = 8;

/** Ratio to the slow bound above which one outstanding request is evidence enough. */
const frozenRatio = 3;

/** Ratio to the slow bound at which a request that was outrun counts. */
const outrunRatio = 1.01;

/** Which evidence set a target aside. */
enum Evidence {
	/** Latencies that this instance saw. */
	Own = 'own',
	/** Service times that the target's steward measured. */
	Steward = 'steward',
}

type Row = {
	readonly window: LatencyWindow;
	/** Start times of outstanding requests by id. */
	readonly outstanding: Map<string, number>;
	setAside?: Evidence;
	/** Service time by the steward, in milliseconds. */
	serviceMs?: number;
	probedAt: number;
	/** Quick answers in a row since it was set aside. */
	recovered: number;
	/** Ratio to the pool's median. */
	score: number;
	/** Evidence behind the score. */
	evidence: Evidence;
};

/**
 * Finds the targets of a pool that are slow in comparison with the pool's own spread,
 * by the latencies and the outstanding requests that this instance sees itself
 * and by the service times that the targets' stewards measure.
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

	/** Median of the service times that the stewards measured, in milliseconds; the reference of cold-start limits. */
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

	/** Forgets a target that left. */
	remove(target: string): void {
		this.rows.delete(target);
	}

	/** Takes the sending of a request. */
	recordStart(target: string, id: string, now: number): void {
		this.rows.get(target)?.outstanding.set(id, now);
	}

	/** Takes the whole answer of a request. */
	recordAnswer(target: string, id: string, now: number): void {
		const row = this.rows.get(target);
		const startedAt = row?.outstanding.get(id);
		if (row === undefined || startedAt === undefined) {
			return;
		}

		row.outstanding.delete(id);
		this.observe(row, now - startedAt);
	}

	/** Takes the service time that the steward of a target measured, in milliseconds; 0 when it knows none. */
	recordServiceTime(target: string, serviceMs: number): void {
		const row = this.rows.get(target);
		if (row !== undefined) {
			row.serviceMs = serviceMs > 0 ? serviceMs : undefined;
		}
	}

	/** Takes the end of a request that says nothing about speed unless it was already late, as a cancelled one. */
	recordCancelled(target: string, id: string, now: number): void {
		const row = this.rows.get(target);
		const startedAt = row?.outstanding.get(id);
		if (row === undefined || startedAt === undefined) {
			return;
		}

		row.outstanding.delete(id);
		if (now - startedAt > this.slowBound()) {
			this.observe(row, now - startedAt);
		}
	}

	/**
	 * Takes the cancellation of a request because a later sending to another target was answered first.
	 * It counts as slow however early it is cancelled, or hedging would hide the slow targets.
	 */
	recordOvertaken(target: string, id: string, now: number): void {
		const row = this.rows.get(target);
		const startedAt = row?.outstanding.get(id);
		if (row === undefined || startedAt === undefined) {
			return;
		}

		row.outstanding.delete(id);
		const bound = this.medianMs === undefined ? 0 : this.slowBound() * outrunRatio;
		this.observe(row, Math.max(now - startedAt, bound));
	}

	/** Whether the target is set aside. */
	isSetAside(target: string): boolean {
		return this.rows.get(target)?.setAside !== undefined;
	}

	/** Names of all targets set aside. */
	setAside(): string[] {
		return [...this.rows].filter(([, row]) => row.setAside !== undefined).map(([name]) => name);
	}

	/** Takes the turn of a set-aside target for a probe, when one is due; undefined otherwise. */
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

	/** Judges all targets; linear in targets and outstanding requests. */
	tick(now: number): void {
		this.medianMs = this.medianOf(row => row.window.quantile(0.5)) ?? this.medianMs;
		this.serviceMedianMs = this.medianOf(row => row.serviceMs);
		for (const row of this.rows.values()) {
			this.judge(row, now);
		}

		this.returnRecovered();
		this.setSlowAside(now);
	}

	private observe(row: Row, latency: number): void {
		const bound = (this.medianMs ?? Number.POSITIVE_INFINITY) * this.cfg.recoveredRatio;
		row.window.add(latency);
		row.recovered = latency <= bound ? row.recovered + 1 : 0;
	}

	private slowBound(): number {
		return this.medianMs === undefined ? Number.POSITIVE_INFINITY : this.medianMs * this.cfg.slowRatio;
	}

	private medianOf(figure: (row: Row) => number | undefined): number | undefined {
		const figures = [...this.rows.values()].map(row => figure(row)).filter(value => value !== undefined);
		return quantileOf(figures.toSorted((a, b) => a - b), 0.5);
	}

	private judge(row: Row, now: number): void {
		const own = this.scoreOf(row, now) / (this.medianMs ?? Number.POSITIVE_INFINITY);
		const steward = this.serviceRatio(row);
		row.score = Math.max(own, steward);
		row.evidence = steward >= own ? Evidence.Steward : Evidence.Own;
	}

	private serviceRatio(row: Row): number {
		return (row.serviceMs ?? 0) / (this.serviceMedianMs ?? Number.POSITIVE_INFINITY);
	}

	/** Median of finished latencies and of the ages of what is late, in milliseconds; 0 when not known. */
	private scoreOf(row: Row, now: number): number {
		const bound = this.slowBound();
		const ages = [...row.outstanding.values()].map(startedAt => now - startedAt);
		const oldest = Math.max(0, ...ages);
		if (oldest > bound * frozenRatio) {
			return oldest;
		}

		const late = ages.filter(age => age > bound);
		const samples = [...row.window.values(), ...late];
		if (samples.length < this.cfg.minSamples) {
			return 0;
		}

		return quantileOf(samples.toSorted((a, b) => a - b), 0.5) ?? 0;
	}

	private returnRecovered(): void {
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
		const room = Math.floor(this.rows.size * this.cfg.maxShare) - this.setAside().length;
		const worst = slow.toSorted((a, b) => b.score - a.score).slice(0, Math.max(0, room));
		for (const row of worst) {
			row.setAside = row.evidence;
			row.probedAt = now;
			row.recovered = 0;
			row.window.clear();
		}
	}
}
