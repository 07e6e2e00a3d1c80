import type {Buffer} from 'node:buffer';
import type {
	ErrorKind, QueueLoad, RunMode, TargetInfo,
} from '@bluebellyard/core';
import type {Answer, HeaderList} from '../ports/index.js';
import type {TargetRequest, TargetResult} from '../queue/target-result.js';
import type {NoRetryReason} from './retry-decider.js';

/** A caller's request that is to be sent to a target. Times are monotonic milliseconds of this process. */
export type Order = {
	/** Id of the caller's attempt. */
	readonly requestId: string;
	readonly method: string;
	/** Path with the query string. */
	readonly path: string;
	readonly headers: HeaderList;
	readonly body: Buffer;
	readonly route: string;
	readonly service: string;
	/** Key, for a request to a sharded service. */
	readonly key: number | undefined;
	readonly priority: number;
	/** Name of the caller's team; undefined without one. */
	readonly team?: string;
	/** Whether the request must run at most once. */
	readonly isOnce: boolean;
	readonly objectiveMs: number;
	readonly arrivedAt: number;
	readonly objectiveAt: number;
	readonly deadline: number;
	/** Targets that must not receive the request (again). */
	readonly excluded: readonly string[];
	/** Whether targets with a limit on requests per second, cold ones and those that name one, must not receive it, because this instance is not the steward. */
	readonly skipsRateLimited: boolean;
	/** Whether this is a run that the leader permitted, of a request under which targets ended before. */
	readonly mode: RunMode;
	/** Whether the caller has probably sent the request before, also if it came back too early for `hasReturned`. Known only where the request arrived. */
	readonly isRetry?: boolean;
	/** Sends the order in place of the client of the dispatch queue: the instance that forwarded it does. Undefined if this instance sends it. */
	readonly sender?: OrderSender;
};

/** Sends an order to the target that the dispatch queue has selected. Never rejects. */
export type OrderSender = {
	readonly send: (req: TargetRequest, target: TargetInfo) => Promise<TargetResult>;
};

/** Returns whether the caller of an order was probably rejected before, by the time that it has left. */
export function hasReturned({arrivedAt, objectiveAt, objectiveMs}: Pick<Order, 'arrivedAt' | 'objectiveAt' | 'objectiveMs'>): boolean {
	return objectiveAt - arrivedAt < objectiveMs;
}

/** Returns what a target receives of an order. */
export function toTargetRequest({requestId, method, path, headers, body, team, isOnce}: Order): Pick<TargetRequest, 'requestId' | 'method' | 'path' | 'headers' | 'body' | 'team' | 'isOnce'> {
	return {
		requestId, method, path, headers, body, team, isOnce,
	};
}

/** Complete answer of a target. */
export type AnsweredResult = {
	readonly kind: 'answer';
	readonly answer: Answer;
	readonly target: string;
	readonly waitMs: number;
	/** Load of the dispatch queue after the request; undefined if its steward did not tell it. */
	readonly load?: QueueLoad;
	/** Why the gateway did not retry the request, although a retry might have succeeded; undefined otherwise. */
	readonly noRetry?: NoRetryReason;
};

/** Failure of a request without an answer of a target. */
export type FailedResult = {
	readonly kind: 'failure';
	readonly error: ErrorKind;
	/** Whether the request certainly has not run and never will. */
	readonly isNotRun: boolean;
	/** Delay after which the caller may retry, in milliseconds. */
	readonly retryAfterMs: number;
	/** Whether capacity is reserved for the caller when `retryAfterMs` has passed; undefined if the queue makes no reservations. */
	readonly isReserved?: boolean;
	/** Target that the request was sent to; undefined if it was sent to none. */
	readonly target: string | undefined;
	/** Whether the target ended while the request ran there, so that the request may have crashed it. */
	readonly isTargetGone: boolean;
	/** Time that the request spent waiting, in milliseconds. */
	readonly waitMs: number;
	/** Cause of the failure, for the log. */
	readonly reason: string;
	/** Load of the dispatch queue after the request; undefined if its steward did not tell it. */
	readonly load?: QueueLoad;
	/** Why the gateway did not retry the request, although a retry might have succeeded; undefined otherwise. */
	readonly noRetry?: NoRetryReason;
};

/** Result of an order. */
export type OrderResult = AnsweredResult | FailedResult;

/** Returns a failure; by default the request has not run, has not waited and may be retried immediately. */
export function failure(error: ErrorKind, details: Partial<Omit<FailedResult, 'kind' | 'error'>>): FailedResult {
	return {
		kind: 'failure', error, isNotRun: true, retryAfterMs: 0, target: undefined, isTargetGone: false, waitMs: 0, reason: '', ...details,
	};
}
