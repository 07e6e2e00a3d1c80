import {
	BeginResultKind, Mutation, RequestIdTable, shardKey, type Permit,
} from '@bluebellyard/core';
import {OrderResult, type Order} from './fake-target.js';
import type {SimulatedInstance} from './simulated-instance.js';

/** A caller's request as forwarded to the steward of its shard. */
export type ForwardedRequest = {
	readonly request: string;
	/** Id of the caller's attempt, unique in the simulation. */
	readonly attempt: string;
	readonly isOnce: boolean;
	readonly pool: string;
	readonly shard: number;
};

/** Outcome of an attempt as reported to the caller. */
export enum CallerOutcome {
	Done = 'done',
	NotRun = 'not-run',
	Unknown = 'unknown',
}

/** Retention period of request ids, in milliseconds. Callers send all their retries within it. */
export const requestIdWindowMs = 2500;

const maxRequestIds = 10_000;
/** Processing time between the check of the permit and the write of the order. */
const writeDelayMs = 0.05;

type Drain = {
	/** Shard key or target name. */
	readonly key: string;
	onDrained: (() => void) | undefined;
};

/** Sends the orders of one instance. Tracks request ids, orders in flight and drains. */
export class OrderDispatcher {
	private readonly requestIds = new RequestIdTable({windowMs: requestIdWindowMs, maxEntries: maxRequestIds, maxAnswerBytes: 0});
	/** Member, tenure and fence of the shard's owner that `requestIds` covers, by shard. */
	private readonly ownershipVersions = new Map<string, string>();
	/** Number of orders in flight, by shard key and by target name. */
	private readonly inFlight = new Map<string, number>();
	private readonly drains = new Map<string, Drain>();

	private readonly instance: SimulatedInstance;

	constructor(instance: SimulatedInstance) {
		this.instance = instance;
	}

	/** Handles a request and reports its outcome to the caller exactly once. */
	handleRequest(req: ForwardedRequest, onOutcome: (outcome: CallerOutcome) => void): void {
		const key = shardKey(req.pool, req.shard);
		const target = this.instance.member?.tables.pools.get(req.pool)?.shards[req.shard].owner ?? '';
		const isTargetDrained = this.drains.has(target) && !this.instance.context.mutations.has(Mutation.OrderWhileGiving);
		if (this.drains.has(key) || isTargetDrained) {
			onOutcome(CallerOutcome.NotRun);
			return;
		}

		this.quarantineMovedShard(req);
		const now = this.instance.node.now();
		const known = req.isOnce
			? this.requestIds.begin({id: req.request, shard: key, fingerprint: ''}, now).kind
			: BeginResultKind.Fresh;
		if (known !== BeginResultKind.Fresh) {
			onOutcome(known === BeginResultKind.Done ? CallerOutcome.Done : CallerOutcome.Unknown);
			return;
		}

		const permit = this.instance.member?.permit(target, req.shard, now);
		if (permit === undefined) {
			this.requestIds.release(req.request);
			onOutcome(CallerOutcome.NotRun);
			return;
		}

		this.instance.context.checker.checkPermit(target, this.instance.member!.id, permit.tenure);
		this.instance.context.onOrder(this.instance, target);
		this.sendOrder(req, target, permit, onOutcome);
	}

	/** Refuses new orders of a shard; `onDrained` runs when none is in flight. */
	drainShard(key: string, onDrained: () => void): void {
		this.drains.set(key, {key, onDrained});
	}

	/** Refuses new orders to a target; `onDrained` runs when none is in flight. */
	drainTarget(target: string, onDrained: () => void): void {
		this.drains.set(target, {key: target, onDrained});
	}

	/** Accepts new orders of a shard or a target again. */
	resume(key: string): void {
		this.drains.delete(key);
	}

	/** Notifies drains that have no order in flight, and removes those whose shard or target now belongs to another steward. */
	completeDrains(): void {
		for (const drain of this.drains.values()) {
			if ((this.inFlight.get(drain.key) ?? 0) === 0) {
				drain.onDrained?.();
				drain.onDrained = undefined;
			}

			if (drain.onDrained === undefined && this.hasOtherSteward(drain.key)) {
				this.drains.delete(drain.key);
			}
		}
	}

	private hasOtherSteward(key: string): boolean {
		const {member} = this.instance;
		const target = member?.tables.targets.get(key);
		if (target !== undefined) {
			return target.steward !== member!.id;
		}

		const [pool, shard] = key.split('/');
		const owner = member?.tables.pools.get(pool)?.shards[Number(shard)]?.owner ?? '';
		return member?.tables.targets.get(owner)?.steward !== member?.id;
	}

	private sendOrder(req: ForwardedRequest, target: string, permit: Permit, onOutcome: (outcome: CallerOutcome) => void): void {
		const {node, context} = this.instance;
		const to = context.targets.get(target)!;
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
		const finish = (outcome: CallerOutcome) => {
			if (isOver) {
				return;
			}

			isOver = true;
			this.changeInFlight(key, target, -1);
			this.recordOutcome(req, outcome);
			onOutcome(outcome);
		};

		this.changeInFlight(key, target, 1);
		node.schedule(writeDelayMs, () => {
			context.network.send(node, to.node, () => {
				to.handleOrder(order, result => {
					context.network.send(to.node, node, () => {
						finish(outcomeByResult[result]);
					});
				});
			});
		});
		// The target does not run an order past its deadline, so the outcome is final, although unknown.
		// The wait allows for the largest drift between the two clocks.
		const leftMs = (permit.targetUntil - permit.targetNow) * (1 + (2 * context.timing.drift));
		node.schedule(Math.max(0, leftMs), () => {
			finish(CallerOutcome.Unknown);
		});
	}

	private changeInFlight(shard: string, target: string, change: number): void {
		for (const key of [shard, target]) {
			this.inFlight.set(key, (this.inFlight.get(key) ?? 0) + change);
		}
	}

	private recordOutcome(req: ForwardedRequest, outcome: CallerOutcome): void {
		if (!req.isOnce) {
			return;
		}

		const now = this.instance.node.now();
		if (outcome === CallerOutcome.NotRun) {
			this.requestIds.release(req.request);
		} else if (outcome === CallerOutcome.Done) {
			this.requestIds.finish(req.request, undefined, 0, now);
		} else {
			this.requestIds.finishUnknown(req.request, now);
		}
	}

	/**
	 * Quarantines a shard when its owner or steward has changed: another steward may have run
	 * requests whose ids are unknown here until their retention period is over.
	 */
	private quarantineMovedShard({pool, shard}: ForwardedRequest): void {
		const {member} = this.instance;
		const row = member?.tables.pools.get(pool)?.shards[shard];
		const tenure = member?.tables.targets.get(row?.owner ?? '')?.tenure ?? 0;
		const key = shardKey(pool, shard);
		const version = `${member?.id}/${tenure}/${row?.fence}`;
		if (this.ownershipVersions.get(key) !== version) {
			this.ownershipVersions.set(key, version);
			this.requestIds.quarantine(key, this.instance.node.now() + requestIdWindowMs);
		}
	}
}

const outcomeByResult: Readonly<Record<OrderResult, CallerOutcome>> = {
	[OrderResult.Done]: CallerOutcome.Done,
	[OrderResult.NotRun]: CallerOutcome.NotRun,
	[OrderResult.Aborted]: CallerOutcome.Unknown,
};
