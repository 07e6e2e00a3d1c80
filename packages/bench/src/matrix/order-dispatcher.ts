import {
	BeginResultKind, Mutation, RequestIdTable, shardKey, type Permit,
} from '@bluebellyard/core';
import {OrderResult, type Order} from './fake-target.js';
import type {SimulatedInstance} from './simulated-instance.js';

/** A caller's request as it reaches the steward of its shard. */
export type ForwardedRequest = {
	readonly request: string;
	/** One try of the caller. */
	readonly attempt: string;
	readonly isOnce: boolean;
	readonly pool: string;
	readonly shard: number;
};

/** What a caller is told. */
export enum CallerOutcome {
	Done = 'done',
	NotRun = 'not-run',
	Unknown = 'unknown',
}

/** Time for which ids are kept, in milliseconds; callers repeat within it. */
export const requestIdWindowMs = 2500;

const maxIds = 10_000;
/** Time of the process between its last look at the clock and the write. */
const writeMs = 0.05;

type Drain = {
	readonly key: string;
	done: (() => void) | undefined;
};

/** The orders of one host: request ids, work in flight, drains. */
export class OrderDispatcher {
	private readonly ids = new RequestIdTable({windowMs: requestIdWindowMs, maxEntries: maxIds, maxAnswerBytes: 0});
	/** Tenure and fence by shard for which all ids are known. */
	private readonly versions = new Map<string, string>();
	/** Work in flight by shard and by target. */
	private readonly inFlight = new Map<string, number>();
	private readonly drains = new Map<string, Drain>();

	private readonly host: SimulatedInstance;

	constructor(host: SimulatedInstance) {
		this.host = host;
	}

	/** Carries out a request and tells the caller's outcome, once. */
	handleRequest(req: ForwardedRequest, tell: (outcome: CallerOutcome) => void): void {
		const key = shardKey(req.pool, req.shard);
		const target = this.host.member?.tables.pools.get(req.pool)?.shards[req.shard].owner ?? '';
		const isTargetDrained = this.drains.has(target) && !this.host.context.mutations.has(Mutation.OrderWhileGiving);
		if (this.drains.has(key) || isTargetDrained) {
			tell(CallerOutcome.NotRun);
			return;
		}

		this.followOwnership(req);
		const now = this.host.node.now();
		const known = req.isOnce
			? this.ids.begin({id: req.request, shard: key, fingerprint: ''}, now).kind
			: BeginResultKind.Fresh;
		if (known !== BeginResultKind.Fresh) {
			tell(known === BeginResultKind.Done ? CallerOutcome.Done : CallerOutcome.Unknown);
			return;
		}

		const permit = this.host.member?.permit(target, req.shard, now);
		if (permit === undefined) {
			this.ids.release(req.request);
			tell(CallerOutcome.NotRun);
			return;
		}

		this.host.context.checker.checkPermit(target, this.host.member!.id, permit.tenure);
		this.host.context.onOrder(this.host, target);
		this.write(req, target, permit, tell);
	}

	/** Stops new work on a shard; `done` runs when none is in flight. */
	drainShard(key: string, done: () => void): void {
		this.drains.set(key, {key, done});
	}

	/** Stops new work on a target; `done` runs when none is in flight. */
	drainTarget(target: string, done: () => void): void {
		this.drains.set(target, {key: target, done});
	}

	/** Takes up work again. */
	resume(key: string): void {
		this.drains.delete(key);
	}

	/** Reports the drains that are over; forgets those of shards that were given away. */
	completeDrains(): void {
		for (const drain of this.drains.values()) {
			if ((this.inFlight.get(drain.key) ?? 0) === 0) {
				drain.done?.();
				drain.done = undefined;
			}

			if (drain.done === undefined && this.isGivenAway(drain.key)) {
				this.drains.delete(drain.key);
			}
		}
	}

	private isGivenAway(key: string): boolean {
		const {member} = this.host;
		const target = member?.tables.targets.get(key);
		if (target !== undefined) {
			return target.steward !== member!.id;
		}

		const [pool, shard] = key.split('/');
		const owner = member?.tables.pools.get(pool)?.shards[Number(shard)]?.owner ?? '';
		return member?.tables.targets.get(owner)?.steward !== member?.id;
	}

	private write(req: ForwardedRequest, target: string, permit: Permit, tell: (outcome: CallerOutcome) => void): void {
		const {node: site, context: around} = this.host;
		const to = around.targets.get(target)!;
		const key = shardKey(req.pool, req.shard);
		const order: Order = {
			request: req.request,
			attempt: req.attempt,
			isOnce: req.isOnce,
			shard: key,
			fence: permit.fence,
			deadline: permit.targetUntil,
		};
		let isOver = false;
		const end = (outcome: CallerOutcome) => {
			if (isOver) {
				return;
			}

			isOver = true;
			this.count(key, target, -1);
			this.note(req, outcome);
			tell(outcome);
		};

		this.count(key, target, 1);
		site.schedule(writeMs, () => {
			around.network.send(site, to.node, () => {
				to.handleOrder(order, result => {
					around.network.send(to.node, site, () => {
						end(outcomes[result]);
					});
				});
			});
		});
		// Past its deadline the order can't run any more, whatever became of it.
		const leftMs = (permit.targetUntil - permit.targetNow) * (1 + (2 * around.timing.drift));
		site.schedule(Math.max(0, leftMs), () => {
			end(CallerOutcome.Unknown);
		});
	}

	private count(shard: string, target: string, change: number): void {
		for (const key of [shard, target]) {
			this.inFlight.set(key, (this.inFlight.get(key) ?? 0) + change);
		}
	}

	private note(req: ForwardedRequest, outcome: CallerOutcome): void {
		if (!req.isOnce) {
			return;
		}

		const now = this.host.node.now();
		if (outcome === CallerOutcome.NotRun) {
			this.ids.release(req.request);
		} else if (outcome === CallerOutcome.Done) {
			this.ids.finish(req.request, undefined, 0, now);
		} else {
			this.ids.finishUnknown(req.request, now);
		}
	}

	/** Ids that another steward may have run are unknown here until their window is over. */
	private followOwnership({pool, shard}: ForwardedRequest): void {
		const {member} = this.host;
		const row = member?.tables.pools.get(pool)?.shards[shard];
		const tenure = member?.tables.targets.get(row?.owner ?? '')?.tenure ?? 0;
		const key = shardKey(pool, shard);
		const version = `${member?.id}/${tenure}/${row?.fence}`;
		if (this.versions.get(key) !== version) {
			this.versions.set(key, version);
			this.ids.quarantine(key, this.host.node.now() + requestIdWindowMs);
		}
	}
}

const outcomes: Readonly<Record<OrderResult, CallerOutcome>> = {
	[OrderResult.Done]: CallerOutcome.Done,
	[OrderResult.NotRun]: CallerOutcome.NotRun,
	[OrderResult.Aborted]: CallerOutcome.Unknown,
};
