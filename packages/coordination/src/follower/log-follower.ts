import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '../clock/index.js';
import {ControlKind, decodeControl, type ControlRecord} from '../control/index.js';
import type {Fold, FoldVerdict} from '../fold/index.js';
import {
	LogReset, LogTruncated, LogUnavailable, type LogPage, type LogRecord, type LogService,
} from '../log-service/index.js';
import {Backoff, type BackoffOptions} from './backoff.js';
import {Listeners} from './listeners.js';
import {loadSnapshot, type FoldedState} from './load-snapshot.js';

/** Settings of a follower. */
export type LogFollowerOptions<State> = {
	readonly log: LogService;
	readonly fold: Fold<State>;
	readonly clock: Clock;
	/** Maximum number of records per read. */
	readonly limit: number;
	/** Time in milliseconds that a read waits for new records. Must be well below `rightMs` of the right that it renews. */
	readonly waitMs: number;
	readonly backoff: BackoffOptions;
	/** Seed of the jitter. */
	readonly seed: number;
};

/** Counters of a follower since its start. */
export type FollowerCounters = {
	accepted: number;
	rejected: number;
	/** Records that do not belong to this fold and changed nothing. */
	foreign: number;
	/** Failed reads and loads, including answers with inconsistent offsets. */
	failures: number;
	/** Number of times that records were truncated before the follower read them. */
	truncated: number;
};

/**
 * Keeps the fold of a log up to date. Starts from a peer's state, or from the
 * newest snapshot and the records after it. Loads a snapshot again if records
 * were truncated before it read them. After each failed read it compares the last
 * record that it folded with the log; when that holds another one, it stops for good.
 */
export class LogFollower<State> {
	readonly counters: FollowerCounters = {
		accepted: 0, rejected: 0, foreign: 0, failures: 0, truncated: 0,
	};

	private readonly options: LogFollowerOptions<State>;
	private readonly backoff: Backoff;
	private readonly foldListeners = new Listeners<[offset: number, verdict: FoldVerdict, data: string]>();
	private readonly controlListeners = new Listeners<[offset: number, record: ControlRecord]>();
	private readonly tailListeners = new Listeners<[sentAt: number]>();
	private readonly loadListeners = new Listeners<[offset: number, skipped: number]>();
	private readonly failureListeners = new Listeners<[err: unknown]>();
	private readonly resetListeners = new Listeners<[err: LogReset]>();
	private currentState: State;
	private foldedOffset = 0;
	/** Last record folded; undefined while the state includes none that was read by this follower. */
	private lastRecord: LogRecord | undefined;
	private mustCompare = false;
	private reset: LogReset | undefined;
	private loaded = false;
	private abort: AbortController | undefined;
	private running: Promise<void> | undefined;

	constructor(options: LogFollowerOptions<State>) {
		this.options = options;
		this.backoff = new Backoff(options.backoff, options.seed);
		this.currentState = options.fold.initial();
	}

	/** Current state. Each record changes it in place. */
	get state(): State {
		return this.currentState;
	}

	/** Offset of the last record folded into the state. */
	get offset(): number {
		return this.foldedOffset;
	}

	/** Whether the state was loaded from the log or a peer, no truncated record is missing from it and the log was not reset. */
	get isLoaded(): boolean {
		return this.loaded && this.reset === undefined;
	}

	/** Calls `listener` after each record passed to the fold. */
	onFold(listener: (offset: number, verdict: FoldVerdict, data: string) => void): () => void {
		return this.foldListeners.add(listener);
	}

	/** Calls `listener` for each control record (snapshot chunk or marker). */
	onControl(listener: (offset: number, record: ControlRecord) => void): () => void {
		return this.controlListeners.add(listener);
	}

	/** Calls `listener` when a read that was sent at monotonic time `sentAt` has reached the end of the log. */
	onTail(listener: (sentAt: number) => void): () => void {
		return this.tailListeners.add(listener);
	}

	/**
	 * Calls `listener` when the state was replaced by one that includes `offset`.
	 * `skipped` is the number of records without a fold event of their own.
	 */
	onLoad(listener: (offset: number, skipped: number) => void): () => void {
		return this.loadListeners.add(listener);
	}

	/** Calls `listener` after each failed read or load, also when the log ends before records that were read from it. */
	onFailure(listener: (err: unknown) => void): () => void {
		return this.failureListeners.add(listener);
	}

	/** Calls `listener` once if the log turns out to hold another record than the one that was folded. The follower reads nothing from then on. */
	onReset(listener: (err: LogReset) => void): () => void {
		return this.resetListeners.add(listener);
	}

	/**
	 * Adopts the state of a peer if it is newer than the own state, or as new while
	 * none is loaded. Returns whether it was adopted.
	 */
	adopt(received: FoldedState<State>): boolean {
		const skipped = received.offset - this.foldedOffset;
		if (this.reset !== undefined || skipped < 0 || (this.loaded && skipped === 0)) {
			return false;
		}

		this.currentState = received.state;
		this.foldedOffset = received.offset;
		this.lastRecord = undefined;
		this.loaded = true;
		this.loadListeners.emit(received.offset, skipped);
		return true;
	}

	/** Serializes the state, with its offset, for a peer or a snapshot. */
	encode(): {readonly of: number; readonly text: string} {
		return {of: this.foldedOffset, text: this.options.fold.encode(this.currentState)};
	}

	/** Starts to follow the log, until `stop`. */
	start(): void {
		if (!this.running) {
			this.abort = new AbortController();
			this.running = this.run(this.abort.signal);
		}
	}

	/** Stops following. Resolves once the call in progress has ended. */
	async stop(): Promise<void> {
		this.abort?.abort();
		await this.running;
		this.running = undefined;
	}

	/** Does one load or one read. Throws `LogUnavailable`, `LogTruncated`, `NoSnapshot` or `LogReset`. */
	async poll(signal?: AbortSignal): Promise<void> {
		try {
			this.throwIfReset();
			await (this.loaded ? this.read(signal) : this.load(signal));
		} catch (err) {
			this.countFailure(err);
			throw err;
		}
	}

	/** Reads the end of the log now: the offset of the next record. Throws `LogUnavailable`, or `LogReset` if the log lost folded records. */
	async readEnd(signal?: AbortSignal): Promise<number> {
		this.throwIfReset();
		const known = this.lastRecord;
		const folded = this.foldedOffset;
		try {
			const page = await this.options.log.read(known?.offset ?? folded + 1, 1, 0, signal);
			throwIfBehind(page, folded);
			this.compare(known, page);
			return page.next;
		} catch (err) {
			// The record itself may be older than the retention.
			if (err instanceof LogTruncated && err.next > folded) {
				return err.next;
			}

			throw err;
		}
	}

	private throwIfReset(): void {
		if (this.reset !== undefined) {
			throw this.reset;
		}
	}

	private compare(known: LogRecord | undefined, page: LogPage): void {
		this.throwIfReset();
		const found = page.records.find(record => record.offset === known?.offset);
		if (known === undefined || found === undefined || found.data === known.data) {
			return;
		}

		this.reset = new LogReset(`The log holds another record at offset ${known.offset} than the one that was folded.`);
		this.resetListeners.emit(this.reset);
		throw this.reset;
	}

	private async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			try {
				// Each read starts at the offset after the previous one.
				// eslint-disable-next-line no-await-in-loop
				await this.poll(signal);
				this.backoff.reset();
			} catch {
				// eslint-disable-next-line no-await-in-loop
				await sleep(this.backoff.nextMs(), undefined, {signal}).catch(() => undefined);
			}
		}
	}

	private countFailure(err: unknown): void {
		if (err instanceof LogTruncated) {
			this.counters.truncated++;
			this.loaded = false;
		} else {
			this.counters.failures++;
			this.mustCompare = true;
		}

		this.failureListeners.emit(err);
	}

	private async load(signal?: AbortSignal): Promise<void> {
		const {log, fold, limit} = this.options;
		const loadedState = await loadSnapshot({
			log, fold, limit, signal,
		});
		// A peer's state may have been adopted during the load.
		if (!this.loaded) {
			this.adopt(loadedState);
		}
	}

	private async read(signal?: AbortSignal): Promise<void> {
		const {log, clock, limit, waitMs} = this.options;
		if (this.mustCompare) {
			await this.readEnd(signal);
			this.mustCompare = false;
		}

		const sentAt = clock.now();
		const page = await log.read(this.foldedOffset + 1, limit, waitMs, signal);
		this.foldPage(page);
		if (page.next === this.foldedOffset + 1) {
			this.tailListeners.emit(sentAt);
		}
	}

	private foldPage(page: LogPage): void {
		throwIfBehind(page, this.foldedOffset);
		for (const record of page.records) {
			if (record.offset > this.foldedOffset + 1) {
				throw new LogUnavailable(`A read skipped offset ${this.foldedOffset + 1}.`, false);
			}

			if (record.offset === this.foldedOffset + 1) {
				this.foldRecord(record.offset, record.data);
			}
		}
	}

	private foldRecord(offset: number, data: string): void {
		this.foldedOffset = offset;
		this.lastRecord = {offset, data};
		const control = decodeControl(data);
		if (control) {
			this.controlListeners.emit(offset, control);
			return;
		}

		const verdict = this.options.fold.apply(this.currentState, offset, data);
		this.countVerdict(verdict);
		this.foldListeners.emit(offset, verdict, data);
	}

	private countVerdict(verdict: FoldVerdict): void {
		if (verdict.foreign) {
			this.counters.foreign++;
		} else if (verdict.accepted) {
			this.counters.accepted++;
		} else {
			this.counters.rejected++;
		}
	}
}

function throwIfBehind(page: LogPage, folded: number): void {
	if (page.next <= folded) {
		throw new LogUnavailable(`The log ends at ${page.next}, before folded offset ${folded}.`, false);
	}
}

/** Passes each snapshot chunk that a follower reads to `observe`, as a snapshot writer requires. Returns the function that stops it. */
export function watchSnapshots(
	follower: Pick<LogFollower<unknown>, 'onControl'>,
	observe: (chunk: Extract<ControlRecord, {kind: ControlKind.Snapshot}>) => void,
): () => void {
	return follower.onControl((_offset, record) => {
		if (record.kind === ControlKind.Snapshot) {
			observe(record);
		}
	});
}
