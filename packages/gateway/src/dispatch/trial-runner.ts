import {
	ErrorKind, quarantineMs, RunMode, TrialOutcome, type Clock, type TrialDecision,
} from '@bluebellyard/core';
import type {CancelSignal} from '../net/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {CrashGuard} from './crash-guard.js';
import {failure, type Order, type OrderResult} from './order.js';

/** Retry delay reported while no leader can permit a trial, in milliseconds; about the time of an election. */
const noLeaderRetryMs = 1500;

/** Share of the latency objective for which a request waits for a trial of the same request to end. */
const maxWaitShare = 0.5;

/** Options of a trial runner. */
export type TrialRunnerOptions = {
	readonly guard: CrashGuard;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Asks the leader whether a request may run; resolves to undefined if there is no answer. */
	readonly requestTrial: (print: string, maxMs: number) => Promise<TrialDecision | undefined>;
	/** Tells the leader how a trial ended. */
	readonly reportEnd: (print: string, outcome: TrialOutcome) => void;
	/** Waits for a change of the view, the given time in milliseconds or an abort, whichever is first. */
	readonly waitForChange: (ms: number, signal: CancelSignal) => Promise<void>;
};

/** A suspected order: its fingerprint, whether a steward told so, and the signal that its caller left. */
export type SuspectedOrder = {
	readonly print: string;
	readonly isTold: boolean;
	readonly signal: CancelSignal;
};

/**
 * Runs requests under which targets ended before. Only the leader may permit it, so that one runs at a time over all
 * instances; a request that waits for its turn is refused once it is known that its turn won't come in time.
 */
export class TrialRunner {
	private readonly options: TrialRunnerOptions;

	constructor(options: TrialRunnerOptions) {
		this.options = options;
	}

	/**
	 * Runs a suspected order with `attempt` if it is permitted. Resolves to undefined if it is no longer suspected. `isTold`
	 * states that a steward has just refused it as suspected, which this instance learns from the leader only later.
	 */
	async run(order: Order, {print, isTold, signal}: SuspectedOrder, attempt: (order: Order) => Promise<OrderResult>): Promise<OrderResult | undefined> {
		const {guard, clock, telemetry, requestTrial, reportEnd, waitForChange} = this.options;
		const waitUntil = Math.min(order.arrivedAt + (order.objectiveMs * maxWaitShare), order.deadline);
		let decision: TrialDecision | undefined;
		for (;;) {
			if (!isTold && !guard.isSuspect(print)) {
				return undefined;
			}

			if (guard.published(print)?.isQuarantined === true) {
				return this.refuse(order, print, quarantineMs, 'the request is quarantined');
			}

			// eslint-disable-next-line no-await-in-loop
			decision = await requestTrial(print, Math.max(1, Math.round(order.deadline - clock.now())));
			if (decision?.isGranted) {
				break;
			}

			const retryAfterMs = decision?.retryAfterMs ?? noLeaderRetryMs;
			if (clock.now() + retryAfterMs > waitUntil || signal.aborted) {
				return this.refuse(order, print, retryAfterMs, decision === undefined ? 'no leader permits a trial' : 'its next trial is later');
			}

			// eslint-disable-next-line no-await-in-loop
			await waitForChange(retryAfterMs, signal);
		}

		if (signal.aborted) {
			reportEnd(print, TrialOutcome.NotSent);
			return failure(ErrorKind.CallerDisconnectedBeforeSend, {reason: 'the caller left before its trial'});
		}

		const result = await attempt({...order, mode: decision.isAlone ? RunMode.TrialAlone : RunMode.Trial});
		const outcome = toOutcome(result);
		telemetry.metrics.trials.inc({result: outcome});
		reportEnd(print, outcome);
		return result;
	}

	private refuse(order: Order, print: string, retryAfterMs: number, reason: string): OrderResult {
		const {telemetry, clock} = this.options;
		telemetry.metrics.trials.inc({result: 'refused'});
		return failure(ErrorKind.CrashSuspect, {retryAfterMs, waitMs: clock.now() - order.arrivedAt, reason: `${reason}: ${print}`});
	}
}

function toOutcome(result: OrderResult): TrialOutcome {
	if (result.kind === 'answer') {
		return TrialOutcome.Answered;
	}

	if (!result.isNotRun) {
		return TrialOutcome.Unknown;
	}

	return result.target === undefined ? TrialOutcome.NotSent : TrialOutcome.NotRun;
}
