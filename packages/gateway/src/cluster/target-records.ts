import type {Clock, TargetInfo} from '@bluebellyard/core';
import type {View} from '../view/index.js';

/** Time for which a target that left is remembered, in milliseconds. A copy of the store is some seconds old, and the store removes entries of targets after three heartbeats of silence. */
const leftMemoryMs = 300_000;

/** Prefix of the rows of targets that left, in the view. */
const leftPrefix = 'left/';

/** Identifies a record of a target. */
type RecordKey = Pick<TargetInfo, 'id' | 'bornAt' | 'recordSeq'>;

type NewestRecord = RecordKey & {
	/** Time at which the target left; undefined while it has an entry. */
	readonly leftAt: number | undefined;
};

/**
 * The newest record of each target. A store that returns from an older copy lists records that the target has
 * replaced or deleted since; they must not undo that it is draining or has left. The view keeps what a new leader
 * needs to recognize them: the record of the last change, and the targets that left.
 */
export class TargetRecords {
	private newest = new Map<string, NewestRecord>();
	private readonly view: View;
	private readonly clock: Clock;

	constructor(view: View, clock: Clock) {
		this.view = view;
		this.clock = clock;
	}

	/** Takes over what the view has. */
	load(): void {
		const former = this.newest;
		this.newest = new Map();
		for (const target of this.view.targets.values()) {
			this.add(target.name, target, former);
		}

		const leftAt = this.clock.now();
		for (const [key, row] of this.view.store.withPrefix<RecordKey>(leftPrefix)) {
			this.add(key.slice(leftPrefix.length), {...row, leftAt}, former);
		}
	}

	/**
	 * Returns whether a record is older than what was seen of the target. `isListed` states that it comes from a
	 * listing, as all records of a copy do, and may be one that the target has deleted or a later process replaced.
	 */
	isOutdated({name, id, bornAt, recordSeq}: TargetInfo, isListed: boolean): boolean {
		const newest = this.newest.get(name);
		if (newest === undefined) {
			return false;
		}

		if (newest.id !== id) {
			return isListed && bornAt > 0 && bornAt < newest.bornAt;
		}

		if (recordSeq === undefined || newest.recordSeq === undefined) {
			return false;
		}

		return recordSeq < newest.recordSeq || (isListed && recordSeq === newest.recordSeq && newest.leftAt !== undefined);
	}

	/** Records that a record counts. */
	record({name, id, bornAt, recordSeq}: TargetInfo): void {
		this.newest.set(name, {
			id, bornAt, recordSeq, leftAt: undefined,
		});
		this.view.store.remove(leftPrefix + name);
	}

	/** Records that a target has no entry any more. */
	recordLeft(name: string): void {
		const newest = this.newest.get(name);
		if (newest !== undefined) {
			this.newest.set(name, {...newest, leftAt: this.clock.now()});
			const {id, bornAt, recordSeq} = newest;
			this.view.store.set(leftPrefix + name, {id, bornAt, recordSeq} satisfies RecordKey);
		}
	}

	/** Forgets the targets that left long ago. */
	expire(now: number): void {
		for (const [name, {leftAt}] of this.newest) {
			if (leftAt !== undefined && now - leftAt > leftMemoryMs) {
				this.newest.delete(name);
				this.view.store.remove(leftPrefix + name);
			}
		}
	}

	/** Adds a record of the view; heartbeats seen here since then have higher numbers. */
	private add(name: string, {id, bornAt, recordSeq, leftAt}: RecordKey & {readonly leftAt?: number}, former: ReadonlyMap<string, NewestRecord>): void {
		const seen = former.get(name);
		const isLater = seen?.id === id && (seen.recordSeq ?? 0) > (recordSeq ?? 0);
		this.newest.set(name, {
			id, bornAt, recordSeq: isLater ? seen.recordSeq : recordSeq, leftAt,
		});
	}
}
