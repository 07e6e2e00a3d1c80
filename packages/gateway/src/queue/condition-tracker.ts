import {AttemptOutcome, TargetConditions, type Clock} from '@bluebellyard/core';
import type {TargetHeaders} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {View} from '../view/index.js';
import type {TargetResult} from './target-result.js';

/** Interval between two log lines about a target whose limit holds, in milliseconds; the requests sent in it are counted. */
const countIntervalMs = 4000;

/** Role in which an instance talks to a target. */
export enum SenderRole {
	/** It is the steward of the target's dispatch queue. */
	Steward = 'steward',
	/** It knows no steward, or can't reach it. */
	Other = 'other',
	/** It is the leader and sent a grant or a release. */
	Leader = 'leader',
}

/** Options of a condition tracker. */
export type ConditionTrackerOptions = {
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	readonly view: View;
	/** Called when a target announces to this instance that it leaves. */
	readonly onLeaving: (target: string) => void;
};

/** An answer, or its absence, and who sent the request. */
export type ObservedResult = {
	readonly result: TargetResult;
	/** Name of the target that the request was for. */
	readonly name: string;
	/** When the request was sent, in monotonic milliseconds. */
	readonly sentAt: number;
	readonly role: SenderRole;
};

/** Requests sent to a target since a time, in monotonic milliseconds. */
type SendCount = {
	since: number;
	sent: number;
};

/** Collects what targets say about themselves in answers to this instance, and logs changes and the use of limits. */
export class ConditionTracker {
	readonly conditions = new TargetConditions();
	private readonly options: ConditionTrackerOptions;
	private readonly counts = new Map<string, SendCount>();

	constructor(options: ConditionTrackerOptions) {
		this.options = options;
	}

	/** Records that a request is sent to a target. */
	recordSend(target: string, role: SenderRole): void {
		const {clock, telemetry} = this.options;
		const now = clock.now();
		const limit = this.conditions.limit(target, now);
		if (limit === undefined) {
			this.counts.delete(target);
			return;
		}

		telemetry.metrics.limitedSends.inc({role});
		const count = this.counts.get(target) ?? {since: now, sent: 0};
		this.counts.set(target, count);
		if (now - count.since >= countIntervalMs) {
			telemetry.trace('limits', 'Requests sent to a target with a limit.', {
				target, limit, role, sent: count.sent, inMs: Math.round(now - count.since),
			});
			this.counts.set(target, {since: now, sent: 1});
		} else {
			count.sent += 1;
		}
	}

	/** Applies the limits that the instances together know, and forgets targets that are gone. */
	applyReported(): void {
		const {clock, view} = this.options;
		const now = clock.now();
		this.conditions.applyReported(view.namedLimits, now);
		this.conditions.prune(target => view.targets.has(target), now);
		for (const target of this.counts.keys()) {
			if (!view.targets.has(target)) {
				this.counts.delete(target);
			}
		}
	}

	/** Records the result of a request to a target. */
	recordResult(target: string, {result, name, sentAt, role}: ObservedResult): void {
		const {outcome, meta} = result;
		if (meta !== undefined && isFromTarget(result, name)) {
			// Only a complete answer to the request proves that the target names no limit any more.
			this.apply(target, meta, {isConclusive: outcome === AttemptOutcome.Answered && !meta.hasLimit, sentAt, role});
		}
	}

	/** Records the headers of an answer to a grant or release. Whether such answers always name a limit is not specified, so they neither end nor raise one. */
	recordControlAnswer(target: string, headers: TargetHeaders): void {
		this.apply(target, headers, {isConclusive: false, sentAt: Number.NEGATIVE_INFINITY, role: SenderRole.Leader});
	}

	/** Applies what an answer says; `isConclusive` is whether it would name a limit if there were one. */
	private apply(target: string, {limit, isLeaving}: TargetHeaders, {isConclusive, sentAt, role}: {isConclusive: boolean; sentAt: number; role: SenderRole}): void {
		const {clock, telemetry, view, onLeaving} = this.options;
		if (isLeaving && view.recordLeaving(target)) {
			telemetry.info('targets', 'A target announced that it leaves.', {target, role});
			onLeaving(target);
		}

		const change = this.conditions.recordAnswer(target, {
			limit, isConclusive, sentAt, now: clock.now(),
		});
		if (change !== undefined) {
			telemetry.trace('limits', change.after === undefined ? 'A target names no limit any more.' : 'A target named a limit.', {
				target, limit: change.after, former: change.before, role,
			});
		}
	}
}

/** Returns whether an answer is certainly from the target that the request was for; a process that took over its address answers that it is another. */
function isFromTarget({outcome, meta}: TargetResult, name: string): boolean {
	const isOwnAnswer = outcome === AttemptOutcome.Answered || outcome === AttemptOutcome.Full;
	return isOwnAnswer || (outcome === AttemptOutcome.NotRun && meta?.target === name);
}
