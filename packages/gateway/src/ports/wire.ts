import type {IncomingHttpHeaders} from 'node:http';
import type {Buffer} from 'node:buffer';

/** Headers as pairs of name and value. */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>;

/** What the headers of a caller's request say to the gateway. */
export type CallerHeaders = {
	/** Id of this attempt of the caller; empty when absent. */
	readonly requestId: string;
	/** How long the caller will wait, in milliseconds; undefined when not told. */
	readonly callerTimeoutMs: number | undefined;
	/** Key of a sharded service; undefined when absent or no valid key. */
	readonly key: number | undefined;
};

/** Load that a target reports. */
export type TargetLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How long work takes on its machine at the moment; 1 is usual. */
	readonly slowdown: number;
};

/** What the headers of a target's answer say to the gateway. */
export type TargetHeaders = {
	readonly requestId: string;
	/** Whether the answer bears the target's seal. */
	readonly isSealed: boolean;
	/** Whether the target states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Name of the process that answered; empty when not told. */
	readonly target: string;
	readonly load: TargetLoad | undefined;
	/** How much longer the target is cold, in milliseconds; undefined when not told. */
	readonly coldLeftMs: number | undefined;
};

/** What the gateway adds to a request for a target. */
export type TargetRequestHeaders = {
	readonly requestId: string;
	readonly timeLeftMs: number;
	/** Name of the target that may run it. */
	readonly target: string;
};

/** Header names and status codes of the platform. */
export abstract class Wire {
	abstract readCaller(headers: IncomingHttpHeaders): CallerHeaders;

	abstract readTarget(headers: IncomingHttpHeaders): TargetHeaders;

	/** Headers for a target: the caller's, less those of one connection, with the gateway's own. */
	abstract toTarget(callerHeaders: HeaderList, own: TargetRequestHeaders): Record<string, string>;

	/** Headers for a caller: the target's, less those of one connection. */
	abstract toCaller(targetHeaders: HeaderList): HeaderList;
}

/** A whole answer. */
export type Answer = {
	readonly status: number;
	readonly headers: HeaderList;
	readonly body: Buffer;
	/** Whether its length was stated. One that only ended with its connection may have been cut. */
	readonly isFramed: boolean;
};
