import {
	LogService, LogTruncated, LogUnavailable, type LogPage, type LogRecord,
} from '../log-service/index.js';

/** In-memory log with fault switches. */
export class FakeLog extends LogService {
	/** Whether calls fail before they take effect. */
	isDown = false;
	/** Whether appends take effect and then fail. */
	losesAnswers = false;
	/** Whether appends take effect twice. */
	duplicates = false;
	/** Number of appends that took effect. */
	appends = 0;
	private first = 1;
	private records: LogRecord[] = [];
	private readonly waitingReads = new Set<() => void>();

	/** Offset of the next record to be appended. */
	get next(): number {
		return this.first + this.records.length;
	}

	async append(records: readonly string[]): Promise<number> {
		this.throwIfDown();
		this.appends++;
		const first = this.store(records);
		if (this.duplicates) {
			this.store(records);
		}

		if (this.losesAnswers) {
			throw new LogUnavailable('The answer was lost.', true);
		}

		return first;
	}

	async read(from: number, limit: number, waitMs: number, signal?: AbortSignal): Promise<LogPage> {
		this.throwIfDown();
		if (from >= this.next && waitMs > 0) {
			await this.waitForAppend(waitMs, signal);
			this.throwIfDown();
		}

		if (from < this.first) {
			throw new LogTruncated(this.first, this.next);
		}

		const start = from - this.first;
		return {first: this.first, next: this.next, records: this.records.slice(start, start + limit)};
	}

	/** Drops the records before offset `first`, as the retention does. */
	truncate(first: number): void {
		this.records = this.records.slice(first - this.first);
		this.first = first;
	}

	/** Loses the records from offset `next` on, as a log that returns from an older copy. */
	restore(next: number): void {
		this.records = this.records.slice(0, next - this.first);
	}

	/** Stores a record of another writer and returns its offset. Not counted in `appends`, and not subject to faults. */
	foreign(data: string): number {
		return this.store([data]);
	}

	private store(records: readonly string[]): number {
		const first = this.next;
		this.records.push(...records.map((data, i) => ({offset: first + i, data})));
		for (const wake of this.waitingReads) {
			wake();
		}

		return first;
	}

	private throwIfDown(): void {
		if (this.isDown) {
			throw new LogUnavailable('The log is down.', false);
		}
	}

	private async waitForAppend(waitMs: number, signal?: AbortSignal): Promise<void> {
		return new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.waitingReads.delete(wake);
				signal?.removeEventListener('abort', wake);
				resolve();
			};

			const timer = setTimeout(wake, waitMs);
			this.waitingReads.add(wake);
			signal?.addEventListener('abort', wake, {once: true});
		});
	}
}
