import {
	ErrorKind, RetryDecision, SelectiveRetryBudget, type Clock, type RetryBudgetCfg,
} from '@bluebellyard/core';
import type {DispatchQueues} from '../queue/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {View} from '../view/index.js';
import {hasReturned, type Order, type OrderResult} from './order.js';

/** Largest number of times that one request is passed to a dispatch queue, for whatever reason. */
export const maxAttempts = 5;

/** Shortest delay that a rejected caller is told, in milliseconds; a lower bound of `Retry-After`. */
const minRetryAfterMs = 50;

/** Failures after which a retry may succeed. */
const retryableErrors = new Set([
	ErrorKind.TargetShed, ErrorKind.TargetFenced, ErrorKind.ConnectFailed, ErrorKind.ConnectionLost, ErrorKind.NoTarget, ErrorKind.StewardUnreachable, ErrorKind.NotSteward,
]);

/** Reasons not to retry a request that do not concern the budget. */
export enum RetryObstacle {
	/** It was passed to a queue `maxAttempts` times. */
	AttemptLimit = 'attempt-limit',
	/** Less than the expected run time is left. */
	NoTime = 'no-time',
	/** It was sent to as many targets as its route permits. */
	TargetLimit = 'target-limit',
}

/** Why a request that failed was not retried. */
export type NoRetryReason = RetryObstacle | Exclude<RetryDecision, RetryDecision.Granted>;

/** Whether a request is retried; without a reason if a retry is pointless or forbidden. */
export type RetryOutcome = {readonly isRetried: true} | {readonly isRetried: false; readonly reason: NoRetryReason | undefined};

/** What was done for a request so far. */
export type RetryProgress = {
	readonly attempts: number;
	/** Targets that must not receive the request again; extended by the last one if another target can run it. */
	readonly tried: string[];
	/** Number of targets that it may be sent to. */
	readonly maxTargets: number;
	/** Whether it is for one target of a sharded service. */
	readonly isKeyed: boolean;
	readonly isAborted: boolean;
};

/** Options of a retry decider. */
export type RetryDeciderOptions = {
	readonly view: Pick<View, 'nodes'>;
	readonly queues: Pick<DispatchQueues, 'estimateWorkMs'>;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Returns the retry budget of this instance for the number of instances that share the total. */
	readonly retryBudget: (instances: number) => RetryBudgetCfg;
};

/** Returns whether a result must or can't be improved by a retry. What may have crashed its target is not taken to the next one. */
function isFinal({isOnce}: Order, result: OrderResult): boolean {
	if (result.kind === 'answer') {
		return isOnce || result.answer.status < 500;
	}

	return !retryableErrors.has(result.error) || result.isTargetGone || (isOnce && !result.isNotRun);
}

/** Decides whether a failed request is retried, and keeps the retry budget of each service. */
export class RetryDecider {
	private readonly options: RetryDeciderOptions;
	private readonly budgets = new Map<string, SelectiveRetryBudget>();

	constructor(options: RetryDeciderOptions) {
		this.options = options;
	}

	/** Records a request of a caller. */
	recordRequest(service: string): void {
		this.use(service, (budget, now) => {
			budget.deposit(now);
		});
	}

	/** Decides whether a request is retried after a result. Charges the budget if a target received the request. */
	decide(order: Order, result: OrderResult, progress: RetryProgress): RetryOutcome {
		const {clock, telemetry} = this.options;
		if (isFinal(order, result) || progress.isAborted) {
			return {isRetried: false, reason: undefined};
		}

		const now = clock.now();
		const reason = this.findObstacle(order, result, progress, now);
		if (reason !== undefined) {
			telemetry.metrics.retriesDenied.inc({reason});
			return {isRetried: false, reason};
		}

		const failure = result.kind === 'failure' ? result.error : `status-${result.answer.status}`;
		telemetry.metrics.retries.inc({reason: failure});
		telemetry.logRequest('Retrying request.', {
			id: order.requestId, reason: failure, target: result.target, offers: progress.attempts, leftMs: Math.round(order.deadline - now),
		});
		return {isRetried: true};
	}

	private findObstacle(order: Order, result: OrderResult, {attempts, tried, maxTargets, isKeyed}: RetryProgress, now: number): NoRetryReason | undefined {
		if (attempts >= maxAttempts) {
			return RetryObstacle.AttemptLimit;
		}

		const leftMs = order.deadline - now;
		const expectedMs = this.options.queues.estimateWorkMs(order.route, order.objectiveMs);
		if (leftMs < expectedMs) {
			return RetryObstacle.NoTime;
		}

		const {target} = result;
		if (target === undefined) {
			return undefined;
		}

		if (!isKeyed && !tried.includes(target)) {
			tried.push(target);
		}

		if (tried.length >= maxTargets) {
			return RetryObstacle.TargetLimit;
		}

		const toldMs = Math.max(minRetryAfterMs, result.kind === 'failure' ? result.retryAfterMs : 0);
		const isLastChance = hasReturned(order) || order.isRetry === true || leftMs < toldMs + expectedMs;
		const decision = this.use(order.service, budget => budget.decide({isLastChance, priority: order.priority}, now));
		return decision === RetryDecision.Granted ? undefined : decision;
	}

	/** Uses the budget of a service, and logs whether that makes it scarce or sufficient. */
	private use<Result>(service: string, act: (budget: SelectiveRetryBudget, now: number) => Result): Result {
		const now = this.options.clock.now();
		const budget = this.getBudget(service);
		const wasScarce = budget.isScarce;
		const result = act(budget, now);
		if (budget.isScarce !== wasScarce) {
			this.reportScarcity(service, budget, now);
		}

		return result;
	}

	private reportScarcity(service: string, budget: SelectiveRetryBudget, now: number): void {
		const {metrics} = this.options.telemetry;
		const {tokens, incomePerSecond, candidatesPerSecond} = budget.state(now);
		metrics.retryBudgetScarce.set({service}, budget.isScarce ? 1 : 0);
		this.options.telemetry.trace('retries', budget.isScarce ? 'The retry budget of a service is scarce.' : 'The retry budget of a service is sufficient again.', {
			service, tokens: toTenths(tokens), allowedPerSecond: toTenths(incomePerSecond), neededPerSecond: toTenths(candidatesPerSecond),
		});
	}

	private getBudget(service: string): SelectiveRetryBudget {
		const existing = this.budgets.get(service);
		if (existing !== undefined) {
			return existing;
		}

		const budget = new SelectiveRetryBudget(this.options.retryBudget(this.options.view.nodes().length));
		this.budgets.set(service, budget);
		return budget;
	}
}

function toTenths(value: number): number {
	return Math.round(value * 10) / 10;
}
