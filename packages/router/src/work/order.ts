import type {Buffer} from 'node:buffer';
import type {QueueEntry} from '@bluebellyard/core';
import type {AnswerFraming} from '@bluebellyard/http-client';

/** Header fields by their lower-case names. */
export type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** One request of a caller, ready to be sent to a target. */
export type Order = QueueEntry & {
	readonly method: string;
	/** Path with query string. */
	readonly path: string;
	readonly headers: Headers;
	readonly body: Buffer;
	readonly pool: string;
	/** Shard of the key; -1 in a shared pool. */
	readonly shard: number;
	/** Key from the path; empty in a shared pool. */
	readonly key: string;
	/** Idempotency key of the caller; empty when it sent none. */
	readonly requestId: string;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
};

/** Whole answer of a target. */
export type Answer = {
	readonly status: number;
	readonly headers: Headers;
	readonly body: Buffer;
	/** How the target, or the instance that passed the answer on, stated its end. */
	readonly framing: AnswerFraming;
};
