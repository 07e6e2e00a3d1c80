import type {IncomingMessage} from 'node:http';
import {OrderEnd, type LedgerEntry} from './ledger.js';

/** Reads one header as a string; empty when it is absent. */
export function readHeader(req: IncomingMessage, name: string): string {
	const value = req.headers[name];
	return typeof value === 'string' ? value : '';
}

/** Reads one header as a number; `absent` when it is absent. */
export function readNumberHeader(req: IncomingMessage, name: string, absent: number): number {
	const value = readHeader(req, name);
	return value === '' ? absent : Number(value);
}

/** Ledger entry of a request that begins at `now`. */
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
