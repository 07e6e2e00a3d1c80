import type {IncomingHttpHeaders} from 'node:http';
import type {Buffer} from 'node:buffer';
import type {AnswerFraming} from '@bluebellyard/http-client';

/** Headers as pairs of name and value. */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>;

/** Values that the gateway reads from the headers of a caller's request. */
export type CallerHeaders = {
	/** Id of this attempt of the caller; empty if absent. */
	readonly requestId: string;
	/** How long the caller waits for an answer, in milliseconds; undefined if absent. */
	readonly callerTimeoutMs: number | undefined;
	/** Key of a sharded service; undefined if absent or invalid. */
	readonly key: number | undefined;
	/** Key by which the caller states its team; undefined if absent. A secret: it must get into no log line, message or view. */
	readonly apiKey: string | undefined;
};

/** Load reported by a target. */
export type TargetLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Factor by which requests currently run slower than normal on the target's machine; 1 is normal. */
	readonly slowdown: number;
};

/** Values that the gateway reads from the headers of a target's answer. */
export type TargetHeaders = {
	readonly requestId: string;
	/** Whether the answer carries the target's seal. */
	readonly isSealed: boolean;
	/** Whether the target states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Name of the process that answered; empty if absent. */
	readonly target: string;
	readonly load: TargetLoad | undefined;
	/** How much longer the target is cold, in milliseconds; undefined if absent. */
	readonly coldLeftMs: number | undefined;
	/** Requests per second that the target takes from all instances together; undefined if absent or invalid. */
	readonly limit: number | undefined;
	/** Whether the answer names a limit, valid or not. */
	readonly hasLimit: boolean;
	/** Whether the target announces that it leaves and wants no new work. */
	readonly isLeaving: boolean;
	/** For how long the target wants no request from this instance, in milliseconds; undefined if it does not say so. */
	readonly pauseMs: number | undefined;
};

/** Values that the gateway adds to the headers of a request to a target. */
export type TargetRequestHeaders = {
	readonly requestId: string;
	readonly timeLeftMs: number;
	/** Name of the target that may run the request. */
	readonly target: string;
	/** Name of the caller's team; undefined without one. */
	readonly team?: string;
};

/** Encodes and decodes the headers defined by the platform. */
export abstract class Wire {
	/** Header by which requests to targets and their answers state the request's id, in lower case. */
	abstract readonly requestIdHeader: string;

	abstract readCaller(headers: IncomingHttpHeaders): CallerHeaders;

	abstract readTarget(headers: IncomingHttpHeaders): TargetHeaders;

	/** Returns a caller's headers without those that state its key or its team, all occurrences. */
	abstract withoutCredentials(headers: HeaderList): HeaderList;

	/** Returns the headers of an answer that asks the caller for a key. */
	abstract toChallenge(): HeaderList;

	/** Returns the headers for a target: the caller's without the hop-by-hop ones, plus the gateway's own. */
	abstract toTarget(callerHeaders: HeaderList, own: TargetRequestHeaders): Record<string, string>;

	/** Returns the headers for a caller: the target's without the hop-by-hop ones. */
	abstract toCaller(targetHeaders: HeaderList): HeaderList;
}

/** A whole answer of a target. */
export type Answer = {
	readonly status: number;
	readonly headers: HeaderList;
	readonly body: Buffer;
	/** How the target stated the end of the answer. */
	readonly framing: AnswerFraming;
};
