import {
	encodeTables, RecordKind, type FoldResult, type Tables,
} from '@bluebellyard/core';
import type {EventQueue} from './event-queue.js';
import {Invariant, type Violation} from './violation.js';

/** Work that a target does for one order. */
export type OrderRun = {
	readonly target: string;
	readonly shard: string;
	/** Whether the target may still go on with it. */
	readonly isActive: () => boolean;
};

/** A lease on shards that a target holds. */
export type TargetLease = {
	readonly target: string;
	readonly holds: (shard: string) => boolean;
};

/** Sees all that happens in a cell and checks it against the invariants. */
export class InvariantChecker {
	/** The first broken invariant. */
	violation: Violation | undefined;
	/** Leases of the targets that check fences. */
	readonly leases: TargetLease[] = [];
	/** Offset of the newest accepted configuration. */
	configOffset = 0;
	private readonly verdicts = new Map<number, string>();
	private readonly digests = new Map<number, string>();
	private readonly acceptedIds = new Set<string>();
	private readonly reported = new Set<string>();
	private readonly configSeen = new Map<string, number>();
	private readonly permitted = new Map<string, {tenure: number; steward: string}>();
	private readonly runs = new Map<string, OrderRun[]>();
	/** True time of the last order begun, by target. */
	private readonly begunAt = new Map<string, number>();
	private readonly onceRuns = new Set<string>();
	private readonly attemptsRun = new Set<string>();
	private readonly attemptsRefused = new Set<string>();

	private readonly queue: EventQueue;

	constructor(queue: EventQueue) {
		this.queue = queue;
	}

	/** Notes a broken invariant. */
	recordViolation(invariant: Invariant, detail: string): void {
		this.violation ??= {invariant, at: this.queue.now, detail};
	}

	/** A member folded a record. */
	checkFold(offset: number, result: FoldResult): void {
		const verdict = `${result.accepted} ${result.reason ?? ''}`;
		const known = this.verdicts.get(offset);
		this.verdicts.set(offset, verdict);
		if (known !== undefined && known !== verdict) {
			this.recordViolation(Invariant.SameFold, `offset ${offset}: "${known}" and "${verdict}"`);
		}

		if (result.accepted && result.record !== undefined) {
			this.acceptedIds.add(result.record.id);
			if (result.record.kind === RecordKind.Config) {
				this.configOffset = Math.max(this.configOffset, offset);
			}
		}
	}

	/** The tables of a member after a page of records. */
	checkTables(site: string, tables: Tables): void {
		const text = encodeTables(tables);
		const known = this.digests.get(tables.folded);
		this.digests.set(tables.folded, text);
		if (known !== undefined && known !== text) {
			this.recordViolation(Invariant.SameFold, `tables of ${site} differ at offset ${tables.folded}`);
		}

		const config = this.configSeen.get(site) ?? 0;
		if (tables.config.offset < config) {
			this.recordViolation(Invariant.ConfigInForce, `${site} went from ${config} to ${tables.config.offset}`);
		}

		this.configSeen.set(site, tables.config.offset);
	}

	/** A writer was told that its record is accepted. */
	recordAcceptance(id: string): void {
		this.reported.add(id);
	}

	/** Checks at the end that all that was told accepted is. */
	checkAcceptances(): void {
		for (const id of this.reported) {
			if (!this.acceptedIds.has(id)) {
				this.recordViolation(Invariant.AcceptedSurvives, `record ${id} was told accepted`);
			}
		}
	}

	/** A member has leave to order at this moment. */
	checkPermit(target: string, steward: string, tenure: number): void {
		const known = this.permitted.get(target);
		if (known !== undefined && (tenure < known.tenure || (tenure === known.tenure && steward !== known.steward))) {
			const text = `${steward} orders to ${target} under ${tenure} after ${known.steward} under ${known.tenure}`;
			this.recordViolation(Invariant.OneSteward, text);
		}

		if (known === undefined || tenure > known.tenure) {
			this.permitted.set(target, {tenure, steward});
		}
	}

	/** A target begins to work on an order. */
	checkOrderStart(run: OrderRun): void {
		const others = (this.runs.get(run.shard) ?? []).filter(other => other.isActive());
		const other = others.find(going => going.target !== run.target);
		if (other !== undefined) {
			this.recordViolation(Invariant.OneOwner, `${run.shard} runs on ${other.target} and ${run.target}`);
		}

		this.begunAt.set(run.target, this.queue.now);
		this.runs.set(run.shard, [...others, run]);
	}

	/** Whether a target began an order within the last `ms`. */
	hasRecentWork(target: string, ms: number): boolean {
		return (this.begunAt.get(target) ?? -Infinity) > this.queue.now - ms;
	}

	/** A target runs an attempt of a request. */
	recordAttemptRun(request: string, attempt: string, isOnce: boolean): void {
		if (isOnce && this.onceRuns.has(request)) {
			this.recordViolation(Invariant.AtMostOnce, `request ${request} runs again`);
		}

		this.onceRuns.add(request);
		this.attemptsRun.add(attempt);
		this.checkHonest(attempt);
	}

	/** An attempt was answered as not run. */
	recordAttemptRefused(attempt: string): void {
		this.attemptsRefused.add(attempt);
		this.checkHonest(attempt);
	}

	/** A target was granted a shard. */
	checkGrant(target: string, shard: string): void {
		const other = this.leases.find(lease => lease.target !== target && lease.holds(shard));
		if (other !== undefined) {
			this.recordViolation(Invariant.OneGrant, `${shard} is granted to ${other.target} and ${target}`);
		}
	}

	private checkHonest(attempt: string): void {
		if (this.attemptsRun.has(attempt) && this.attemptsRefused.has(attempt)) {
			this.recordViolation(Invariant.HonestRefusal, `attempt ${attempt} ran`);
		}
	}
}
