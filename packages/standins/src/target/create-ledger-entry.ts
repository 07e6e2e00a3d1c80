import type {IncomingMessage} from 'node:http';
import {OrderEnd, type LedgerEntry} from './ledger.js';

/** Returns a header as a string; empty if it is absent. */
export function readHeader(req: IncomingMessage, name: string): string {
	const value = req.headers[name];
	return typeof value === 'string' ? value : '';
}

/** Returns a header as a number, or `fallback` if it is absent. */
export function readNumberHeader(req: IncomingMessage, name: string, fallback: number): number {
	const value = readHeader(req, name);
	return value === '' ? fallback : Number(value);
}

/** Creates the ledger entry of an order that starts at `now`. */
export function createLedgerEntry(req: IncomingMessage, incarnation: string, now: number): LedgerEntry {
	return {
		seq: -1,
		order: readHeader(req, 'x-order-id'),
		request: readHeader(req, 'idempotency-key'),
		method: req.method!,
		path: req.url!,
		pool: readHeader(req, 'x-pool'),
		shard: readNumberHeader(req, 'x-shard', -1),
		fence: readNumberHeader(req, 'x-fence', -1),
		incarnation,
		started: now,
		ended: now,
		end: OrderEnd.Running,
		reason: '',
	};
}
