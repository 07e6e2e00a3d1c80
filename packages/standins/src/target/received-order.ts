import type {IncomingMessage, ServerResponse} from 'node:http';
import type {LedgerEntry} from './ledger.js';

/** Why a running order was aborted. */
export enum AbortReason {
	/** Its deadline passed. */
	Timeout = 'timeout',
	/** Its shard was revoked or the lease expired. */
	LostShard = 'lost-shard',
	/** Its connection was closed. */
	Cancelled = 'cancelled',
	/** The target fell over. */
	FellOver = 'fell-over',
	/** The target restarted. */
	Restarted = 'restarted',
}

/** An order that the target received, with its connection. */
export type ReceivedOrder = {
	readonly entry: LedgerEntry;
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	/** Received body. */
	readonly body: Uint8Array;
	/** Time at which the router stops waiting, in milliseconds of the machine-wide clock. */
	readonly deadline: number;
	/** Timer for its regular end. */
	serviceTimer?: NodeJS.Timeout;
	/** Timer for its deadline. */
	timeoutTimer?: NodeJS.Timeout;
};

/** Clears the timers of an order. */
export function clearTimers(order: ReceivedOrder): void {
	clearTimeout(order.serviceTimer);
	clearTimeout(order.timeoutTimer);
}
