import type {IncomingMessage, ServerResponse} from 'node:http';
import type {LedgerEntry} from './ledger.js';

/** Why a running order was stopped. */
export enum AbortReason {
	/** Its time ran out. */
	Timeout = 'timeout',
	/** Its shard was revoked or the lease ran out. */
	LostShard = 'lost-shard',
	/** Its connection was closed. */
	Cancelled = 'cancelled',
	/** The target fell over. */
	FellOver = 'fell-over',
	/** The target restarted. */
	Restarted = 'restarted',
}

/** One order that is running. */
export type ReceivedOrder = {
	readonly entry: LedgerEntry;
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	/** Received body. */
	readonly body: Uint8Array;
	/** Time at which the router stops waiting, in milliseconds. */
	readonly deadline: number;
	/** Timer of its regular end. */
	serviceTimer?: NodeJS.Timeout;
	/** Timer of its timeout. */
	timeoutTimer?: NodeJS.Timeout;
};

/** Stops the timers of an order. */
export function clearTimers(work: ReceivedOrder): void {
	clearTimeout(work.serviceTimer);
	clearTimeout(work.timeoutTimer);
}
