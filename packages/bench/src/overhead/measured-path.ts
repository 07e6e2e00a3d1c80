import {readCpuTimeMs, type Child} from '../deployment/index.js';
import {
	Balancer, Caller, LatencyHistogram, LoadGenerator, RequestPlan, ResultClass, runClosedLoop, type ClosedLoopResult, type PlanOptions,
} from '../load/index.js';

const callerTimeoutMs = 5000;
const msPerS = 1000;

/** Number of connections of the callers. */
export const concurrency = 64;

const plan: PlanOptions = {
	routes: [{
		weight: 1, method: 'GET', path: '/tickets/{key}', isOnce: false, bodyBytes: 0,
	}],
	keys: {count: 10_000, exponent: 0.9, shiftMs: 0},
	callers: 10,
};

/** A path from callers to a target, with its measurements. */
export class MeasuredPath {
	readonly latencies = new LatencyHistogram();
	/** Number of requests that did not end ok in all measurements, by reason. */
	readonly failuresByReason: Record<string, number> = {};
	private readonly addr: string;
	private readonly processes: readonly Child[];
	private ok = 0;
	private cpuMs = 0;
	private elapsedMs = 0;

	/** `processes` are the processes on the path whose processor time is counted. */
	constructor(addr: string, processes: readonly Child[]) {
		this.addr = addr;
		this.processes = processes;
	}

	/** Requests answered per second at saturation. */
	get perSecond(): number {
		return this.ok * msPerS / this.elapsedMs;
	}

	/** Requests answered per second of processor time. */
	get perCoreSecond(): number {
		return this.ok * msPerS / this.cpuMs;
	}

	/** Sends load so that the processes compile their hot code; measures nothing, but counts failures. */
	async warmUp(durationMs: number, seed: number): Promise<void> {
		await this.sendClosedLoop(durationMs, seed);
	}

	/** Measures the throughput and processor time at saturation. */
	async measureThroughput(durationMs: number, seed: number): Promise<void> {
		const cpuBefore = this.sumCpuTimeMs();
		const {ok, perSecond} = await this.sendClosedLoop(durationMs, seed);
		this.cpuMs += this.sumCpuTimeMs() - cpuBefore;
		this.ok += ok;
		this.elapsedMs += ok * msPerS / perSecond;
	}

	/** Sends open-loop load at a rate and records the latencies. */
	async measureLatency(rate: number, durationMs: number, seed: number): Promise<void> {
		const balancer = new Balancer([this.addr], concurrency);
		const caller = new Caller(balancer, callerTimeoutMs);
		const generator = new LoadGenerator(caller, new RequestPlan(plan), {rate, durationMs, seed});
		const views = await generator.run();
		await balancer.close();
		for (const {result, reason, scheduledAt, endedAt} of views.flatMap(view => view.attempts)) {
			if (result === ResultClass.Ok) {
				this.latencies.record(endedAt - scheduledAt);
			} else {
				this.addFailures({[reason]: 1});
			}
		}
	}

	private async sendClosedLoop(durationMs: number, seed: number): Promise<ClosedLoopResult> {
		const balancer = new Balancer([this.addr], concurrency);
		const caller = new Caller(balancer, callerTimeoutMs);
		const result = await runClosedLoop(caller, new RequestPlan(plan), {concurrency, durationMs, seed});
		await balancer.close();
		this.addFailures(result.others);
		return result;
	}

	private addFailures(failures: Readonly<Record<string, number>>): void {
		for (const [reason, count] of Object.entries(failures)) {
			this.failuresByReason[reason] = (this.failuresByReason[reason] ?? 0) + count;
		}
	}

	private sumCpuTimeMs(): number {
		return this.processes.reduce((sum, child) => sum + readCpuTimeMs(child.pid), 0);
	}
}
