import {errors, Pool} from 'undici';
import {z} from 'zod';
import {
	LogService, LogTruncated, LogUnavailable, type LogPage,
} from '../log-service/index.js';

/** Settings of `HttpLogService`. */
export type HttpLogOptions = {
	/** Base URL, for example `http://10.0.0.1:7000`. */
	readonly origin: string;
	/** Timeout of a call in milliseconds, not including the wait of a read. */
	readonly timeoutMs: number;
	/** Size of the connection pool. */
	readonly connections: number;
};

const offset = z.number().int().nonnegative();
const appendAnswer = z.object({first: offset});
const rangeAnswer = z.object({first: offset, next: offset});
const pageAnswer = rangeAnswer.extend({records: z.array(z.object({offset, data: z.string()}))});

/** Codes of errors that occur before any byte of the request is sent. */
const unsentCodes = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT',
]);

const goneStatus = 410;

/** Largest answer, in bytes; a page with the records of some thousand changes, or a snapshot. */
const maxAnswerBytes = 16 * 1024 * 1024;

type Answer = {
	readonly status: number;
	readonly body: unknown;
};

type Call = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly timeoutMs: number;
	readonly body?: string;
	readonly signal?: AbortSignal;
};

/** Client for a log service with a JSON API over HTTP. */
export class HttpLogService extends LogService {
	private readonly pool: Pool;
	private readonly timeoutMs: number;

	constructor(options: HttpLogOptions) {
		super();
		this.timeoutMs = options.timeoutMs;
		this.pool = new Pool(options.origin, {
			connections: options.connections,
			connect: {timeout: options.timeoutMs},
			maxResponseSize: maxAnswerBytes,
		});
	}

	async append(records: readonly string[]): Promise<number> {
		const answer = await this.call({
			method: 'POST', path: '/records', timeoutMs: this.timeoutMs, body: JSON.stringify({records}),
		});
		if (answer.status >= 400 && answer.status < 500) {
			throw new LogUnavailable(`The log refused an append with status ${answer.status}.`, false);
		}

		return checkAnswer(appendAnswer, answer).first;
	}

	async read(from: number, limit: number, waitMs: number, signal?: AbortSignal): Promise<LogPage> {
		const answer = await this.call({
			method: 'GET',
			path: `/records?from=${from}&limit=${limit}&wait=${Math.round(waitMs)}`,
			timeoutMs: this.timeoutMs + waitMs,
			signal,
		});
		if (answer.status === goneStatus) {
			const range = checkBody(rangeAnswer, answer.body);
			throw new LogTruncated(range.first, range.next);
		}

		return checkAnswer(pageAnswer, answer);
	}

	/** Closes the connections. Calls in progress fail. */
	async close(): Promise<void> {
		await this.pool.destroy();
	}

	private async call(call: Call): Promise<Answer> {
		const timeout = AbortSignal.timeout(call.timeoutMs);
		const signal = call.signal ? AbortSignal.any([timeout, call.signal]) : timeout;
		try {
			const res = await this.pool.request({
				method: call.method,
				path: call.path,
				body: call.body,
				headers: {'content-type': 'application/json'},
				signal,
			});
			const text = await res.body.text();
			return {status: res.statusCode, body: parseJson(text)};
		} catch (err) {
			throw new LogUnavailable('The log did not answer.', mayHaveRun(err), {cause: err});
		}
	}
}

function mayHaveRun(err: unknown): boolean {
	if (err instanceof errors.ConnectTimeoutError) {
		return false;
	}

	const code = err instanceof Error && 'code' in err ? String(err.code) : '';
	return !unsentCodes.has(code);
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}

function checkAnswer<T>(schema: z.ZodType<T>, answer: Answer): T {
	if (answer.status !== 200) {
		throw new LogUnavailable(`The log answered with status ${answer.status}.`, true);
	}

	return checkBody(schema, answer.body);
}

function checkBody<T>(schema: z.ZodType<T>, body: unknown): T {
	const result = schema.safeParse(body);
	if (!result.success) {
		throw new LogUnavailable('The log sent a malformed answer.', true, {cause: result.error});
	}

	return result.data;
}
