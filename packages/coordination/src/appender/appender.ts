import {setTimeout as sleep} from 'node:timers/promises';
import {ControlKind, encodeControl} from '../control/index.js';
import type {FoldVerdict} from '../fold/index.js';
import type {LogFollower} from '../follower/index.js';
import {LogUnavailable, type LogService} from '../log-service/index.js';

/** Kinds of outcomes of an append. */
export enum AppendOutcomeKind {
	/** The record was read back and the fold accepted it. */
	Accepted = 'accepted',
	/** The record was read back and the fold rejected it. */
	Rejected = 'rejected',
	/** The record was never sent, because the log was unreachable. */
	NotSent = 'not-sent',
	/**
	 * The answer to the append was lost, and the log does not contain the record
	 * before a later marker. The append may still be in flight and take effect
	 * later, so write the record again only with a condition that lets at most
	 * one of the two succeed.
	 */
	Missing = 'missing',
	/** The outcome was not known in time, or a snapshot skipped the offsets that may hold the record. */
	Unknown = 'unknown',
}

/** Outcome of an append, with the offset of the record if it was read back. */
export type AppendOutcome = {
	readonly kind: AppendOutcomeKind;
	readonly offset?: number;
	/** Why the fold rejected the record. */
	readonly reason?: string;
};

/** A record to append. The fold must report its id. */
export type Submission = {
	/** Unique across all writers, and never reused. */
	readonly id: string;
	readonly data: string;
};

/** Settings of an appender. */
export type AppenderOptions = {
	readonly log: LogService;
	readonly follower: Pick<LogFollower<unknown>, 'onFold' | 'onControl' | 'onLoad'>;
	/** Time in milliseconds to collect records into one append. */
	readonly batchMs: number;
	/** Time in milliseconds between markers after a lost answer. */
	readonly markerMs: number;
	/** Time in milliseconds after which the outcome of a record is reported as unknown. */
	readonly timeoutMs: number;
	/** Returns a unique id for a marker. */
	readonly makeId: () => string;
};

type Pending = {
	readonly submission: Submission;
	readonly resolve: (outcome: AppendOutcome) => void;
	readonly timer: NodeJS.Timeout;
};

/** Appends records in batches and reports how the fold decided on each of them. Never repeats an append. */
export class Appender {
	private readonly options: AppenderOptions;
	private readonly pending = new Map<string, Pending>();
	/** Ids of records that count as missing once the marker is read, by id of the marker. */
	private readonly markers = new Map<string, readonly string[]>();
	private batch: Submission[] = [];
	private isFlushing = false;
	private readonly unsubscribe: ReadonlyArray<() => void>;

	constructor(options: AppenderOptions) {
		this.options = options;
		const {follower} = options;
		this.unsubscribe = [
			follower.onFold((offset, verdict) => {
				this.handleFolded(offset, verdict);
			}),
			follower.onControl((_offset, record) => {
				if (record.kind === ControlKind.Marker) {
					this.handleMarker(record.id);
				}
			}),
			follower.onLoad((_offset, skipped) => {
				if (skipped > 0) {
					this.settleAllAsUnknown();
				}
			}),
		];
	}

	/** Appends one record, batched with others submitted within `batchMs`, and returns its outcome. */
	async submit(submission: Submission): Promise<AppendOutcome> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.settle(submission.id, {kind: AppendOutcomeKind.Unknown});
			}, this.options.timeoutMs);
			this.pending.set(submission.id, {submission, resolve, timer});
			this.batch.push(submission);
			void this.flushAll();
		});
	}

	/** Reports all pending records as unknown and stops listening to the follower. */
	close(): void {
		for (const unsubscribe of this.unsubscribe) {
			unsubscribe();
		}

		this.settleAllAsUnknown();
	}

	private async flushAll(): Promise<void> {
		if (this.isFlushing) {
			return;
		}

		this.isFlushing = true;
		while (this.batch.length > 0) {
			// Records submitted during an append go into the next one.
			// eslint-disable-next-line no-await-in-loop
			await sleep(this.options.batchMs);
			const batch = this.batch.filter(submission => this.pending.has(submission.id));
			this.batch = [];
			// eslint-disable-next-line no-await-in-loop
			await this.append(batch);
		}

		this.isFlushing = false;
	}

	private async append(batch: readonly Submission[]): Promise<void> {
		if (batch.length === 0) {
			return;
		}

		const ids = batch.map(submission => submission.id);
		try {
			await this.options.log.append(batch.map(submission => submission.data));
		} catch (err) {
			if (err instanceof LogUnavailable && !err.mayHaveRun) {
				this.settleAll(ids, {kind: AppendOutcomeKind.NotSent});
				return;
			}

			void this.appendMarkers(ids);
		}
	}

	/** Appends markers until all the records are settled. */
	private async appendMarkers(ids: readonly string[]): Promise<void> {
		const markers: string[] = [];
		while (ids.some(id => this.pending.has(id))) {
			const id = this.options.makeId();
			markers.push(id);
			this.markers.set(id, ids);
			try {
				// eslint-disable-next-line no-await-in-loop
				await this.options.log.append([encodeControl({kind: ControlKind.Marker, id})]);
			} catch {
				// The marker may still have been stored. If not, a later one is read.
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(this.options.markerMs);
		}

		for (const id of markers) {
			this.markers.delete(id);
		}
	}

	private handleFolded(offset: number, verdict: FoldVerdict): void {
		if (verdict.id !== undefined) {
			const kind = verdict.accepted ? AppendOutcomeKind.Accepted : AppendOutcomeKind.Rejected;
			this.settle(verdict.id, {kind, offset, reason: verdict.reason});
		}
	}

	private handleMarker(id: string): void {
		this.settleAll(this.markers.get(id) ?? [], {kind: AppendOutcomeKind.Missing});
	}

	private settleAllAsUnknown(): void {
		this.settleAll([...this.pending.keys()], {kind: AppendOutcomeKind.Unknown});
	}

	private settleAll(ids: readonly string[], outcome: AppendOutcome): void {
		for (const id of ids) {
			this.settle(id, outcome);
		}
	}

	private settle(id: string, outcome: AppendOutcome): void {
		const pending = this.pending.get(id);
		if (pending) {
			this.pending.delete(id);
			clearTimeout(pending.timer);
			pending.resolve(outcome);
		}
	}
}
