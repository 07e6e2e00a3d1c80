import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ErrorKind, BeginResultKind, Outcome, Repeat, RequestError, RequestIdTable, RunState, type LoadReport,
} from '@bluebellyard/core';
import {Counter, type Counters} from '../metrics/index.js';
import type {Answer, Order, TargetExecutor} from '../work/index.js';

/** Time for which the id of an ended request is stored, in milliseconds. */
export const requestWindowMs = 60_000;

/** Interval at which the backup of a running request is stored again, in milliseconds. Its window would otherwise end while the request runs. */
const defaultBackupRenewalIntervalMs = 10_000;

/** Maximum number of request ids that one instance stores for its own targets. */
const maxRequestIds = 100_000;

/** Maximum wait for the running requests of a shard that was handed over, in milliseconds; shorter than the timeout of a call that fetches its ids. */
const maxIdleWaitMs = 150;
const idleCheckIntervalMs = 5;

/** Maximum size of an answer that is stored for repeats, in bytes. */
const maxStoredAnswerBytes = 16 * 1024;

/** Backup of a request that must run at most once, as other instances store it. */
export type RequestBackup = {
	readonly id: string;
	/** Label of its shard, as from `AtMostOnceGuard`. */
	readonly shard: string;
	readonly fingerprint: string;
	/** Id of this attempt; the same request may be sent again in a later one. */
	readonly attempt: string;
};

/** Ensures that a request runs at most once, also when the steward changes. */
export abstract class AtMostOnceGuard {
	/** Resolves when the ids of former stewards of the shard are known, or unknown repeats are refused because ids are lost. */
	abstract waitForFormerIds(pool: string, shard: number): Promise<void>;
	/** Returns the label under which the ids of a shard are stored; the same for a hot key and the shard that it hashes to. */
	abstract getLabel(pool: string, shard: number): string;
	/** Stores a backup of the id at another instance before the request is sent; resolves to whether one stored it. */
	abstract backUp(request: RequestBackup): Promise<boolean>;
	/** Removes the backup after the request is proven not to have run. */
	abstract dropBackup(request: RequestBackup): void;
}

/** Executors of the targets by name; undefined for a target of which this instance is not the steward. */
export type TargetExecutors = {
	get(target: string): Pick<TargetExecutor, 'submit' | 'admission' | 'checkOpen'> | undefined;
};

/** Dependencies of `StewardExecutor`. */
export type StewardExecutorOptions = {
	readonly executors: TargetExecutors;
	readonly guard: AtMostOnceGuard;
	readonly now: () => number;
	readonly counters: Counters;
	/** Interval at which the backup of a running request is stored again, in milliseconds. */
	readonly backupRenewalIntervalMs?: number;
};

/** Executes the orders for targets of which this instance is the steward; runs a non-idempotent request at most once. */
export class StewardExecutor {
	readonly ids = new RequestIdTable<Answer>({
		windowMs: requestWindowMs, maxEntries: maxRequestIds, maxAnswerBytes: maxStoredAnswerBytes,
	});

	/** Shard labels of the requests that run or are about to run, by request id. */
	private readonly running = new Map<string, string>();

	private readonly options: StewardExecutorOptions;

	constructor(options: StewardExecutorOptions) {
		this.options = options;
	}

	/** Sends an order to a target of this instance; rejects with a `RequestError`. */
	async handle(target: string, order: Order): Promise<Answer> {
		const executor = this.options.executors.get(target);
		if (executor === undefined) {
			throw new RequestError(ErrorKind.NotSteward);
		}

		return order.repeat === Repeat.Once ? this.runAtMostOnce(target, order) : executor.submit(order);
	}

	/** Returns the load of a target; undefined when this instance is not its steward. */
	load(target: string): LoadReport | undefined {
		return this.options.executors.get(target)?.admission.load(this.options.now());
	}

	/** Resolves when no request runs under the labels, or after `maxIdleWaitMs`. */
	async waitUntilIdle(labels: readonly string[]): Promise<void> {
		const labelSet = new Set(labels);
		const until = this.options.now() + maxIdleWaitMs;
		while (this.options.now() < until && [...this.running.values()].some(label => labelSet.has(label))) {
			// Requests end on their own, so this only polls.
			// eslint-disable-next-line no-await-in-loop
			await sleep(idleCheckIntervalMs);
		}
	}

	private async runAtMostOnce(target: string, order: Order): Promise<Answer> {
		await this.options.guard.waitForFormerIds(order.pool, order.shard);
		// Checked before the id is stored: the next steward would treat a stored id as a request that may have run.
		this.options.executors.get(target)?.checkOpen(order.shard);
		const shard = this.options.guard.getLabel(order.pool, order.shard);
		const fingerprint = computeFingerprint(order);
		const result = this.ids.begin({id: order.requestId, shard, fingerprint}, this.options.now());
		switch (result.kind) {
			case BeginResultKind.Fresh: {
				return this.runFresh(target, order, {
					id: order.requestId, shard, fingerprint, attempt: order.id,
				});
			}

			case BeginResultKind.Running: {
				throw new RequestError(ErrorKind.AlreadyRunning);
			}

			case BeginResultKind.Done: {
				if (result.answer === undefined) {
					throw new RequestError(ErrorKind.AlreadyRan);
				}

				this.options.counters.count(Counter.Replays);
				return result.answer;
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
		const renewal = setInterval(() => {
			void this.options.guard.backUp(request);
		}, this.options.backupRenewalIntervalMs ?? defaultBackupRenewalIntervalMs);
		try {
			if (!await this.options.guard.backUp(request)) {
				throw new RequestError(ErrorKind.StewardUnreachable, 'No other instance stored a backup of the request id.');
			}

			const executor = this.options.executors.get(target);
			if (executor === undefined) {
				throw new RequestError(ErrorKind.NotSteward);
			}

			const answer = await executor.submit(order);
			this.ids.finish(order.requestId, answer, answer.body.length, this.options.now());
			return answer;
		} catch (err) {
			if (err instanceof RequestError && err.answer.outcome === Outcome.NotRun) {
				this.ids.release(order.requestId);
				this.options.guard.dropBackup(request);
			} else {
				this.ids.finishUnknown(order.requestId, this.options.now());
			}

			throw err;
		} finally {
			clearInterval(renewal);
			this.running.delete(order.requestId);
		}
	}
}

/** Returns a digest of the method, path and body, which must be the same in each repeat of a request id. */
function computeFingerprint(order: Order): string {
	return createHash('sha256').update(`${order.method} ${order.path}\n`).update(order.body).digest('base64url');
}

/** State of backed-up ids: their requests may have run. */
export const backupState = RunState.Unknown;
