import {
	encodeTables, RecordKind, type FoldResult, type Tables,
} from '@bluebellyard/core';
import type {EventQueue} from './event-queue.js';
import {Invariant, type Violation} from './violation.js';

/** An order that a target has started. */
export type OrderRun = {
	readonly target: string;
	readonly shard: string;
	/** Returns whether the target may still be working on the order. */
	readonly isActive: () => boolean;
};

/** The lease of a target that checks fences. */
export type TargetLease = {
	readonly target: string;
	readonly holds: (shard: string) => boolean;
};

/** Records the events of a simulation and checks the invariants. */
export class InvariantChecker {
	/** The first violation. */
	violation: Violation | undefined;
	/** Leases of the targets that check fences. */
	readonly leases: TargetLease[] = [];
	/** Offset of the newest accepted configuration. */
	configOffset = 0;
	private readonly verdicts = new Map<number, string>();
	private readonly digests = new Map<number, string>();
	private readonly acceptedIds = new Set<string>();
	private readonly reportedIds = new Set<string>();
	private readonly configOffsets = new Map<string, number>();
	private readonly newestPermits = new Map<string, {tenure: number; steward: string}>();
	private readonly activeRuns = new Map<string, OrderRun[]>();
	/** Simulation time at which the last order was started, by target. */
	private readonly lastStartAt = new Map<string, number>();
	private readonly onceRequestsRun = new Set<string>();
	private readonly attemptsRun = new Set<string>();
	private readonly attemptsRefused = new Set<string>();

	private readonly queue: EventQueue;

	constructor(queue: EventQueue) {
		this.queue = queue;
	}

	/** Records a violation, unless there is an earlier one. */
	recordViolation(invariant: Invariant, detail: string): void {
		this.violation ??= {invariant, at: this.queue.now, detail};
	}

	/** Checks that all members agree on whether a log record is accepted. */
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

	/** Checks the tables of a member after it folded a page of records: equal at equal offsets, and no older configuration. */
	checkTables(instanceName: string, tables: Tables): void {
		const text = encodeTables(tables);
		const known = this.digests.get(tables.folded);
		this.digests.set(tables.folded, text);
		if (known !== undefined && known !== text) {
			this.recordViolation(Invariant.SameFold, `tables of ${instanceName} differ at offset ${tables.folded}`);
		}

		const config = this.configOffsets.get(instanceName) ?? 0;
		if (tables.config.offset < config) {
			this.recordViolation(Invariant.ConfigInForce, `${instanceName} went from ${config} to ${tables.config.offset}`);
		}

		this.configOffsets.set(instanceName, tables.config.offset);
	}

	/** Records that a writer was notified that its record is accepted. */
	recordAcceptance(id: string): void {
		this.reportedIds.add(id);
	}

	/** Checks that every record that was reported as accepted has been folded and accepted. */
	checkAcceptances(): void {
		for (const id of this.reportedIds) {
			if (!this.acceptedIds.has(id)) {
				this.recordViolation(Invariant.AcceptedSurvives, `record ${id} was reported as accepted but is not`);
			}
		}
	}

	/** Checks that only one steward per tenure sends orders to a target, and that no earlier tenure follows a later one. */
	checkPermit(target: string, steward: string, tenure: number): void {
		const known = this.newestPermits.get(target);
		if (known !== undefined && (tenure < known.tenure || (tenure === known.tenure && steward !== known.steward))) {
			const text = `${steward} orders to ${target} under ${tenure} after ${known.steward} under ${known.tenure}`;
			this.recordViolation(Invariant.OneSteward, text);
		}

		if (known === undefined || tenure > known.tenure) {
			this.newestPermits.set(target, {tenure, steward});
		}
	}

	/** Checks that no other target is working on the shard when a target starts an order. */
	checkOrderStart(run: OrderRun): void {
		const others = (this.activeRuns.get(run.shard) ?? []).filter(other => other.isActive());
		const other = others.find(active => active.target !== run.target);
		if (other !== undefined) {
			this.recordViolation(Invariant.OneOwner, `${run.shard} runs on ${other.target} and ${run.target}`);
		}

		this.lastStartAt.set(run.target, this.queue.now);
		this.activeRuns.set(run.shard, [...others, run]);
	}

	/** Returns whether a target started an order within the last `ms`. */
	hasRecentWork(target: string, ms: number): boolean {
		return (this.lastStartAt.get(target) ?? -Infinity) > this.queue.now - ms;
	}

	/** Records that a target runs an attempt, and checks that a request runs at most once if required. */
	recordAttemptRun(request: string, attempt: string, isOnce: boolean): void {
		if (isOnce && this.onceRequestsRun.has(request)) {
			this.recordViolation(Invariant.AtMostOnce, `request ${request} runs again`);
		}

		this.onceRequestsRun.add(request);
		this.attemptsRun.add(attempt);
		this.checkRefusal(attempt);
	}

	/** Records that an attempt was answered as not run. */
	recordAttemptRefused(attempt: string): void {
		this.attemptsRefused.add(attempt);
		this.checkRefusal(attempt);
	}

	/** Checks that no other target holds a lease on a shard that was granted. */
	checkGrant(target: string, shard: string): void {
		const other = this.leases.find(lease => lease.target !== target && lease.holds(shard));
		if (other !== undefined) {
			this.recordViolation(Invariant.OneGrant, `${shard} is granted to ${other.target} and ${target}`);
		}
	}

	private checkRefusal(attempt: string): void {
		if (this.attemptsRun.has(attempt) && this.attemptsRefused.has(attempt)) {
			this.recordViolation(Invariant.HonestRefusal, `attempt ${attempt} ran`);
		}
	}
}
