import {
	ErrorKind, LagMeter, lagTickMs, LocalAdmission, RequestAgeEstimator, type Clock, type HostRoute,
} from '@bluebellyard/core';
import {failure, type FailedResult} from '../dispatch/index.js';
import type {Telemetry} from '../telemetry/index.js';

/** Time without a rejection after which the instance counts as no longer overloaded, in milliseconds; under overload the delay is small now and then. */
const endedAfterMs = 2000;

/** Options of the admission check. */
export type OverloadCheckOptions = {
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Returns the expected run time of a request of a route, in milliseconds. */
	readonly estimateWorkMs: (route: string, objectiveMs: number) => number;
};

/** A request that the admission check rejected. */
export type OverloadRejection = {
	readonly result: FailedResult;
	/** Whether the caller had been refused before, as far as the remaining time tells. */
	readonly hasReturned: boolean;
};

/** Admission check of an instance that may be short of CPU time: measures the delay of this process and rejects requests. */
export class OverloadCheck {
	private readonly ages = new RequestAgeEstimator();
	private readonly admission = new LocalAdmission();
	private meter: LagMeter;
	private timer: NodeJS.Timeout | undefined;
	/** Time of the last rejection while the instance is overloaded, in milliseconds. */
	private rejectedAt: number | undefined;
	private rejections = 0;

	constructor(private readonly options: OverloadCheckOptions) {
		this.meter = new LagMeter(options.clock.now());
	}

	/** Time that work waits for CPU time in this process, in milliseconds. */
	get delayMs(): number {
		return this.meter.delayMs(this.options.clock.now());
	}

	/** Starts to measure the delay. */
	start(): void {
		this.meter = new LagMeter(this.options.clock.now());
		this.timer = setInterval(() => {
			this.tick();
		}, lagTickMs);
	}

	stop(): void {
		clearInterval(this.timer);
	}

	/** Decides about a request; `priority` is that of its team or route, `callerTimeoutMs` the time for which its caller waits. Returns undefined if it is admitted. */
	check(route: HostRoute, priority: number, callerTimeoutMs: number | undefined): OverloadRejection | undefined {
		const {clock, telemetry, estimateWorkMs} = this.options;
		const {name, objectiveMs, timeoutMs} = route;
		const now = clock.now();
		const delayMs = this.meter.delayMs(now);
		const ageMs = callerTimeoutMs === undefined ? 0 : this.ages.estimate(name, callerTimeoutMs);
		const rejection = this.admission.check({
			priority, objectiveLeftMs: objectiveMs - ageMs, timeLeftMs: Math.min(callerTimeoutMs ?? timeoutMs, timeoutMs), workMs: estimateWorkMs(name, objectiveMs),
		}, delayMs, now);
		if (rejection === undefined) {
			return undefined;
		}

		if (this.rejectedAt === undefined) {
			this.rejections = 0;
			telemetry.info('overload', 'This instance is short of CPU time and rejects requests.', {delayMs: Math.round(delayMs), route: name});
		}

		this.rejectedAt = now;
		this.rejections += 1;
		telemetry.metrics.overloadRejections.inc({route: name});
		return {result: failure(ErrorKind.InstanceBusy, rejection), hasReturned: ageMs > 0};
	}

	private tick(): void {
		const now = this.options.clock.now();
		this.meter.tick(now);
		if (this.rejectedAt !== undefined && now - this.rejectedAt >= endedAfterMs) {
			this.rejectedAt = undefined;
			this.options.telemetry.info('overload', 'This instance has enough CPU time again and rejects no more requests.', {rejections: this.rejections});
		}
	}
}

/** Returns the admission check of an instance with `cores` of CPU time; undefined if that is not below `minCores`, so that it is off. */
export function createOverloadCheck(cores: number, minCores: number, options: OverloadCheckOptions): OverloadCheck | undefined {
	return cores < minCores ? new OverloadCheck(options) : undefined;
}
