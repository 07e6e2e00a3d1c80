import {
	LogService, LogTruncated, type LogPage,
} from '@bluebellyard/coordination';
import {Counter, type Counters} from '../metrics/index.js';

/** Wraps a log service: counts failed requests and records when the last read succeeded. */
export class MeteredLog extends LogService {
	private lastReadAt: number;

	/** `now` returns the monotonic time in milliseconds. */
	constructor(
		private readonly log: LogService & {close(): Promise<void>},
		private readonly counters: Counters,
		private readonly now: () => number,
	) {
		super();
		this.lastReadAt = now();
	}

	/** Time since the last successful read, in milliseconds. */
	get ageMs(): number {
		return this.now() - this.lastReadAt;
	}

	override async append(records: readonly string[]): Promise<number> {
		return this.countFailure(this.log.append(records));
	}

	override async read(from: number, limit: number, waitMs: number, signal?: AbortSignal): Promise<LogPage> {
		const page = await this.countFailure(this.log.read(from, limit, waitMs, signal), signal);
		this.lastReadAt = this.now();
		return page;
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.log.close();
	}

	/** Counts a failed request. `LogTruncated` is a regular answer of the service, and an aborted request is not its fault: neither is counted. */
	private async countFailure<T>(call: Promise<T>, signal?: AbortSignal): Promise<T> {
		try {
			return await call;
		} catch (err) {
			if (!(err instanceof LogTruncated) && !signal?.aborted) {
				this.counters.count(Counter.LogErrors);
			}

			throw err;
		}
	}
}
