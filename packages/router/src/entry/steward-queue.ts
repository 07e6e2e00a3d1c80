import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ErrorKind, BeginResultKind, Outcome, Repeat, RequestError, RequestIdTable, RunState, type LoadReport,
} from '@bluebellyard/core';
import {Counter, type Counters} from '../metrics/index.js';
import type {Answer, Order, TargetExecutor} from '../work/index.js';

/** Time for which an ended request id is kept, in milliseconds. */
export const requestWindowMs = 60_000;

/** Request ids that one instance keeps. */
const maxRequestIds = 100_000;

/** Longest wait for requests of a shard that was handed over to end; shorter than a call for its ids, in milliseconds. */
const settleMs = 150;
const settleCheckMs = 5;

/** Largest answer kept for a repeat, in bytes. */
const maxKeptAnswerBytes = 16 * 1024;

/** A request that must run at most once, as other instances keep it. */
export type RequestBackup = {
	readonly id: string;
	/** Label of its shard. */
	readonly shard: string;
	readonly fingerprint: string;
	/** Id of this attempt; the same request may be tried again. */
	readonly attempt: string;
};

/** How a steward makes sure that a request runs at most once over changes of stewards. */
export abstract class AtMostOnceGuard {
	/** Resolves when the ids of former stewards of the shard are known, or their absence is guarded. */
	abstract waitForFormerIds(pool: string, shard: number): Promise<void>;
	/** Name under which the ids of a shard are kept; the same for a hot key and the shard that it hashes to. */
	abstract getLabel(pool: string, shard: number): string;
	/** Has another instance keep the id before the request is sent; whether one does. */
	abstract backUp(request: RequestBackup): Promise<boolean>;
	/** Has it dropped again after the request surely did not run. */
	abstract dropBackup(request: RequestBackup): void;
}

/** Work on targets, by name; undefined where this instance is not the steward. */
export type TargetExecutors = {
	get(target: string): Pick<TargetExecutor, 'submit' | 'admission' | 'checkOpen'> | undefined;
};

/** Carries out the orders for targets of which this instance is the steward. */
export class StewardQueue {
	readonly ids = new RequestIdTable<Answer>({
		windowMs: requestWindowMs, maxEntries: maxRequestIds, maxAnswerBytes: maxKeptAnswerBytes,
	});

	private readonly work: TargetExecutors;
	private readonly guard: AtMostOnceGuard;
	private readonly now: () => number;
	private readonly counters: Counters;
	/** Labels of the requests that run or are about to, by request id. */
	private readonly running = new Map<string, string>();

	constructor(work: TargetExecutors, guard: AtMostOnceGuard, now: () => number, counters: Counters) {
		this.work = work;
		this.guard = guard;
		this.now = now;
		this.counters = counters;
	}

	/** Sends an order to a target of this instance; fails with a `RequestError`. */
	async handle(target: string, order: Order): Promise<Answer> {
		const work = this.work.get(target);
		if (work === undefined) {
			throw new RequestError(ErrorKind.NotSteward);
		}

		return order.repeat === Repeat.Once ? this.runOnce(target, order) : work.submit(order);
	}

	/** Figures of a target of this instance. */
	load(target: string): LoadReport | undefined {
		return this.work.get(target)?.admission.load(this.now());
	}

	/** Resolves when no request runs under the labels, or after a short time. */
	async waitUntilIdle(labels: readonly string[]): Promise<void> {
		const wanted = new Set(labels);
		const until = this.now() + settleMs;
		while (this.now() < until && [...this.running.values()].some(label => wanted.has(label))) {
			// Requests end by themselves.
			// eslint-disable-next-line no-await-in-loop
			await sleep(settleCheckMs);
		}
	}

	private async runOnce(target: string, order: Order): Promise<Answer> {
		await this.guard.waitForFormerIds(order.pool, order.shard);
		// The next steward would take an id that is only being kept for one that may have run.
		this.work.get(target)?.checkOpen(order.shard);
		const shard = this.guard.getLabel(order.pool, order.shard);
		const fingerprint = fingerprintOf(order);
		const known = this.ids.begin({id: order.requestId, shard, fingerprint}, this.now());
		switch (known.kind) {
			case BeginResultKind.Fresh: {
				return this.runFresh(target, order, {
					id: order.requestId, shard, fingerprint, attempt: order.id,
				});
			}

			case BeginResultKind.Running: {
				throw new RequestError(ErrorKind.AlreadyRunning);
			}

			case BeginResultKind.Done: {
				if (known.answer === undefined) {
					throw new RequestError(ErrorKind.AlreadyRan);
				}

				this.counters.count(Counter.Replays);
				return known.answer;
			}

			case BeginResultKind.Unknown: {
				throw new RequestError(ErrorKind.AlreadyRan);
			}

			case BeginResultKind.Reused: {
				throw new RequestError(ErrorKind.RequestIdReused);
			}

			case BeginResultKind.Full: {
				throw new RequestError(ErrorKind.QueueFull);
			}
		}
	}

	private async runFresh(target: string, order: Order, request: RequestBackup): Promise<Answer> {
		this.running.set(order.requestId, request.shard);
		try {
			if (!await this.guard.backUp(request)) {
				throw new RequestError(ErrorKind.StewardUnreachable, 'No other instance keeps the request id.');
			}

			const work = this.work.get(target);
			if (work === undefined) {
				throw new RequestError(ErrorKind.NotSteward);
			}

			const answer = await work.submit(order);
			this.ids.finish(order.requestId, answer, answer.body.length, this.now());
			return answer;
		} catch (err) {
			if (err instanceof RequestError && err.answer.outcome === Outcome.NotRun) {
				this.ids.release(order.requestId);
				this.guard.dropBackup(request);
			} else {
				this.ids.finishUnknown(order.requestId, this.now());
			}

			throw err;
		} finally {
			this.running.delete(order.requestId);
		}
	}
}

/** Digest of what a repeat with the same id must repeat. */
function fingerprintOf(order: Order): string {
	return createHash('sha256').update(`${order.method} ${order.path}\n`).update(order.body).digest('base64url');
}

/** State of a kept id of a request that may have run. */
export const backupState = RunState.Unknown;
