import type {Buffer} from 'node:buffer';
import type {AttemptOutcome} from '@bluebellyard/core';
import {AnswerFraming} from '@bluebellyard/http-client';
import type {CancelSignal} from '../net/index.js';
import type {Answer, HeaderList, TargetHeaders} from '../ports/index.js';

/** Ends a request as one whose connection was lost. */
export type EndAsLost = (reason: string, includesSent: boolean) => void;

/** Observes the connection of a request. */
export type ConnectionObserver = {
	/** Called with the function that ends the request as one whose connection was lost; a request that was sent, only if `includesSent` is true. */
	readonly onStart: (endAsLost: EndAsLost) => void;
	/** Called when the response begins, with the monotonic time at which the connection was opened, in milliseconds. */
	readonly onResponse: (connectedAt: number) => void;
};

/** One request for a target. */
export type TargetRequest = {
	readonly addr: string;
	/** Name that the process at `addr` must have to run the request. */
	readonly target: string;
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly headers: HeaderList;
	readonly body: Buffer;
	/** Name of the caller's team; undefined without one. */
	readonly team?: string;
	readonly timeLeftMs: number;
	/** Whether the request must run at most once. It then uses a new connection, or one that was used within the last `reuseForOnceMs`. */
	readonly isOnce: boolean;
	/** Largest number of idle connections kept to this target. */
	readonly connections: number;
	readonly signal: CancelSignal;
	readonly observer?: ConnectionObserver;
};

/** What happened to the connection of an attempt. */
export enum ConnectionFault {
	None = 'none',
	/** It ended after the request was sent and before the answer was complete. */
	Lost = 'lost',
	/** No process listens at the address. */
	Refused = 'refused',
	/** The connect got no answer in time. */
	TimedOut = 'timed-out',
	/** It could not be opened for another reason. */
	Failed = 'failed',
}

/** Result of an attempt to run a request at a target. */
export type TargetResult = {
	readonly outcome: AttemptOutcome;
	/** Whether the request certainly did not run. */
	readonly isNotRun: boolean;
	/** Status of the answer, 0 without one. Status, headers and body are set for the outcomes `Answered`, `Full` and `NotRun` only. */
	readonly status: number;
	readonly headers: HeaderList;
	readonly body: Buffer;
	/** How the answer stated its end; undefined without one. */
	readonly framing?: AnswerFraming;
	readonly meta: TargetHeaders | undefined;
	readonly fault: ConnectionFault;
	readonly reason: string;
	/** Duration that another instance reported, which sent the request, in milliseconds; undefined if this one sent it. */
	readonly tookMs?: number;
};

/** Returns the answer of an attempt with the outcome `Answered`. */
export function toAnswer({status, headers, body, framing = AnswerFraming.Unsupported}: TargetResult): Answer {
	return {
		status, headers, body, framing,
	};
}
