import type {Buffer} from 'node:buffer';
import type {ErrorKind} from '@bluebellyard/core';
import type {Answer, HeaderList} from '../ports/index.js';

/** A request of a caller on its way to a target. Times are monotonic milliseconds of this process. */
export type Order = {
	/** Id of the caller's attempt. */
	readonly requestId: string;
	readonly method: string;
	/** Path with its query. */
	readonly path: string;
	readonly headers: HeaderList;
	readonly body: Buffer;
	readonly route: string;
	readonly service: string;
	/** Key of a sharded service. */
	readonly key: number | undefined;
	readonly priority: number;
	/** Whether it must run at most once. */
	readonly isOnce: boolean;
	readonly objectiveMs: number;
	readonly arrivedAt: number;
	readonly objectiveAt: number;
	readonly deadline: number;
	/** Targets that must not get it (again). */
	readonly excluded: readonly string[];
	/** Whether the instance that runs it is not in charge of the desk, and must leave cold targets alone. */
	readonly isWarmOnly: boolean;
};

/** A whole answer of a target. */
export type AnsweredResult = {
	readonly kind: 'answer';
	readonly answer: Answer;
	readonly target: string;
	readonly waitMs: number;
};

/** A request that got no answer of a target. */
export type FailedResult = {
	readonly kind: 'failure';
	readonly error: ErrorKind;
	/** Whether it has surely not run and never will. */
	readonly isNotRun: boolean;
	/** When to come back, in milliseconds. */
	readonly retryAfterMs: number;
	/** Target that it was sent to; undefined when to none. */
	readonly target: string | undefined;
	/** Time for which it waited, in milliseconds. */
	readonly waitMs: number;
	/** What the decision rested on, for the log. */
	readonly reason: string;
};

/** What became of an order. */
export type OrderResult = AnsweredResult | FailedResult;

/** A failure; most have not run and wait for nothing. */
export function failure(error: ErrorKind, facts: Partial<Omit<FailedResult, 'kind' | 'error'>>): FailedResult {
	return {
		kind: 'failure', error, isNotRun: true, retryAfterMs: 0, target: undefined, waitMs: 0, reason: '', ...facts,
	};
}
