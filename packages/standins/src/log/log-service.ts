import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {
	commonFaults, HttpStandIn, noCommonFaults, readJson, sendJson, type HostOptions,
} from '../host/index.js';
import {LogStore, type Retention} from './log-store.js';

const logFaults = commonFaults.extend({
	/** Number of coming appends that take effect but whose answer is lost. */
	loseAnswer: z.number().int().nonnegative(),
	/** Number of coming appends that are stored twice. */
	duplicate: z.number().int().nonnegative(),
});

/** Fault switches of the log service. */
export type LogFaults = z.infer<typeof logFaults>;

/** Settings of the log service. */
export type LogOptions = HostOptions & Partial<Retention>;

/** Counters of the log service. */
export type LogStats = {
	/** Number of appends that took effect since the start. */
	appends: number;
	/** Number of records stored since the start. */
	records: number;
	/** Number of appends that took effect within the last second. */
	appendsPerSecond: number;
	/** Size of the record data stored since the start, in UTF-16 code units (bytes if it is ASCII). */
	bytes: number;
	/** Offset of the oldest record still held. */
	first: number;
	/** End of the log: the offset of the next record. */
	next: number;
};

const appendBody = z.object({records: z.array(z.string()).min(1)});
const defaultLimit = 1000;
const maxWaitMs = 60_000;
const rateWindowMs = 1000;

/** Stand-in for the platform's log service. */
export class LogService extends HttpStandIn<LogFaults> {
	private readonly store: LogStore;
	private readonly waitingReads = new Set<() => void>();
	private recentAppends: number[] = [];
	private appends = 0;
	private records = 0;
	private bytes = 0;

	constructor(options: LogOptions = {}) {
		const none = {...noCommonFaults, loseAnswer: 0, duplicate: 0};
		super(options, {path: '/faults', schema: logFaults.partial(), none});
		this.store = new LogStore({maxAgeMs: 0, maxRecords: 0, ...options});
	}

	/** Counters since the start. */
	get stats(): LogStats {
		this.dropOldAppends();
		return {
			appends: this.appends,
			records: this.records,
			appendsPerSecond: this.recentAppends.length,
			bytes: this.bytes,
			first: this.store.first,
			next: this.store.next,
		};
	}

	/** Whether any read is waiting for records. */
	get hasWaitingReads(): boolean {
		return this.waitingReads.size > 0;
	}

	/** Appends records, counts them and wakes waiting reads. Returns the offset of the first record. */
	append(records: readonly string[]): number {
		const now = this.clock.now();
		const first = this.store.append(records, now);
		this.appends++;
		this.records += records.length;
		this.bytes += records.reduce((sum, data) => sum + data.length, 0);
		this.recentAppends.push(now);
		this.dropOldAppends();
		for (const wake of this.waitingReads) {
			wake();
		}

		return first;
	}

	protected override async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const url = new URL(req.url!, 'http://log');
		const route = `${req.method} ${url.pathname}`;
		switch (route) {
			case 'POST /records': {
				await this.handleAppend(req, res);

				break;
			}

			case 'GET /records': {
				await this.handleRead(url.searchParams, res);

				break;
			}

			case 'GET /stats': {
				sendJson(res, 200, this.stats);

				break;
			}

			default: {
				sendJson(res, 404, {error: 'no such resource'});
			}
		}
	}

	private async handleAppend(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {records} = appendBody.parse(await readJson(req));
		const first = this.append(records);
		if (this.faults.duplicate > 0) {
			this.faults.duplicate--;
			this.append(records);
		}

		if (this.faults.loseAnswer > 0) {
			this.faults.loseAnswer--;
			req.socket.destroy();
			return;
		}

		sendJson(res, 200, {first});
	}

	private async handleRead(params: URLSearchParams, res: ServerResponse): Promise<void> {
		const from = Number(params.get('from') ?? 1);
		const limit = Number(params.get('limit') ?? defaultLimit);
		const wait = Math.min(Number(params.get('wait') ?? 0), maxWaitMs);
		if (from >= this.store.next && wait > 0) {
			await this.waitForRecords(wait, res);
		}

		this.store.expire(this.clock.now());
		const {first, next} = this.store;
		if (from < first) {
			sendJson(res, 410, {first, next});
			return;
		}

		sendJson(res, 200, {first, next, records: this.store.read(from, limit)});
	}

	private async waitForRecords(ms: number, res: ServerResponse): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = (): void => {
				clearTimeout(timer);
				this.waitingReads.delete(wake);
				res.off('close', wake);
				resolve();
			};

			const timer = setTimeout(wake, ms);
			this.waitingReads.add(wake);
			res.once('close', wake);
		});
	}

	private dropOldAppends(): void {
		const oldest = this.clock.now() - rateWindowMs;
		const firstRecent = this.recentAppends.findIndex(at => at >= oldest);
		this.recentAppends = firstRecent === -1 ? [] : this.recentAppends.slice(firstRecent);
	}
}
