import {type Clock, type TargetInfo, TargetPhase} from '@bluebellyard/core';
import type {
	FeedChange, OperatorEntry, OperatorFeed, TargetFeed,
} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import {isKnownService, type View} from '../view/index.js';
import {OperatorLoop} from './operator-loop.js';
import {TargetLoop} from './target-loop.js';

/** Share of the targets above which those without a record may have lost it in an outage of the store, and stay in use. */
const maxLeftShare = 0.25;

/** Options of `DirectReader`. */
export type DirectReaderOptions = {
	readonly operators: OperatorFeed;
	readonly targets: TargetFeed;
	readonly view: View;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Called after each read of the operators' records, with the monotonic time up to which they are known, in milliseconds. */
	readonly onOperatorsRead: (knownAt: number) => void;
};

/**
 * Reads the records of operators, and later also those of targets, on a follower whose leader does not tell it in time
 * what they are. What it reads takes effect beside the view of the leader, which stays as it is, so that the next
 * changes of a leader still apply to it.
 */
export class DirectReader {
	private readonly options: DirectReaderOptions;
	private readonly operatorLoop: OperatorLoop;
	private readonly targetLoop: TargetLoop;
	/** Evacuated failure domains by the key of the operator's record. */
	private readonly evacuated = new Map<string, string>();
	/** Records of targets by name. */
	private readonly records = new Map<string, TargetInfo>();
	/** Time at which the last read began that was answered. */
	private lastReadAt = Number.NEGATIVE_INFINITY;
	private hasFailed = false;

	constructor(options: DirectReaderOptions) {
		const {operators, targets, clock, onOperatorsRead} = options;
		const onFailure = (err: unknown) => {
			this.reportFailure(err);
		};

		this.options = options;
		this.operatorLoop = new OperatorLoop({
			feed: operators.fork(),
			clock,
			onChange: (change, knownAt) => {
				this.recordRead(knownAt);
				this.applyOperators(change);
				onOperatorsRead(knownAt);
			},
			onFailure,
		});
		this.targetLoop = new TargetLoop({
			feed: targets.fork(),
			clock,
			onChange: (change, startedAt) => {
				this.recordRead(startedAt);
				this.applyTargets(change);
			},
			onFailure,
		});
	}

	/** Whether it reads the records of operators. */
	get isReadingOperators(): boolean {
		return this.operatorLoop.isRunning;
	}

	/** Whether it reads the records of targets. */
	get isReadingTargets(): boolean {
		return this.targetLoop.isRunning;
	}

	/** Monotonic time up to which a read told something, in milliseconds; negative infinity before the first one. */
	get readAt(): number {
		return this.lastReadAt;
	}

	/** Starts to read the records of operators. */
	startOperators(): void {
		this.hasFailed = false;
		this.operatorLoop.start();
	}

	/** Starts to read the records of targets. */
	startTargets(): void {
		this.targetLoop.start();
	}

	/** Stops reading. What was read stays in effect until it is cleared in the view. */
	stop(): void {
		this.operatorLoop.stop();
		this.targetLoop.stop();
	}

	private recordRead(at: number): void {
		this.hasFailed = false;
		this.lastReadAt = Math.max(this.lastReadAt, at);
	}

	private applyOperators({isFull, set, gone}: FeedChange<OperatorEntry>): void {
		const {view} = this.options;
		if (isFull) {
			this.evacuated.clear();
		}

		for (const key of gone) {
			this.evacuated.delete(key);
		}

		for (const [key, entry] of set) {
			if (entry.kind === 'evacuation') {
				this.evacuated.set(key, entry.domain);
			} else {
				view.setConfigAhead(entry.config);
			}
		}

		if (view.direct.setEvacuated(new Set(this.evacuated.values()))) {
			view.notifyListeners();
		}
	}

	private applyTargets({isFull, set, gone}: FeedChange<TargetInfo>): void {
		const {view, telemetry} = this.options;
		if (isFull) {
			this.records.clear();
		}

		for (const name of gone) {
			this.records.delete(name);
		}

		for (const [name, target] of set) {
			this.records.set(name, target);
		}

		const left = this.findLeft();
		if (view.direct.setLeft(left)) {
			telemetry.info('config', 'Targets left by the records that this instance reads itself.', {targets: [...left]});
			view.notifyListeners();
		}
	}

	/** Returns the ids of the targets in the view that must get no more work by their records. */
	private findLeft(): Set<string> {
		const {view} = this.options;
		const targets = [...view.targets.values()];
		const missing = targets.filter(({name}) => !this.records.has(name));
		const mayHaveExpired = missing.length > targets.length * maxLeftShare;
		const left = targets.filter(target => {
			const record = this.records.get(target.name);
			// Another writer may have replaced the record of a target by one with a service that no configuration names.
			const isOwn = record !== undefined && isKnownService(view, record.service);
			return isOwn && !isOlder(record, target) && (record.id !== target.id || record.phase !== TargetPhase.Ready);
		});
		return new Set([...left, ...(mayHaveExpired ? [] : missing)].map(({id}) => id));
	}

	/** Logs the first of several failures in succession. */
	private reportFailure(err: unknown): void {
		if (!this.hasFailed) {
			this.hasFailed = true;
			this.options.telemetry.warn('config', 'The store could not be read on this instance either; trying again.', {err});
		}
	}
}

/** Returns whether a record, as of a store that returned from an older copy, is older than the one that the view has. */
function isOlder(record: TargetInfo, known: TargetInfo): boolean {
	return record.id === known.id ? (record.recordSeq ?? 0) < (known.recordSeq ?? 0) : record.bornAt < known.bornAt;
}
