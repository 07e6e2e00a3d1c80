import {Repeat} from '../rules/index.js';
import {DeadlineHeap, type DeadlineItem} from './deadline-heap.js';
import type {QueueEntry} from './queue-entry.js';
import {FairQueue} from './fair-queue.js';

/** Consecutive non-idempotent entries after which another entry gets a turn. */
const maxOnceInRow = 3;

/** Weight of one start in the moving share of non-idempotent entries. */
const onceShareWeight = 0.02;

/** Ratio of deadline items to waiting entries above which the heap is pruned. */
const stalePerEntry = 4;

/** Smallest heap that is pruned. */
const minPruneSize = 64;

/**
 * Queue of the entries that wait for one target: non-idempotent entries first, callers in turn, with expiry by deadline.
 */
export class WaitQueue<E extends QueueEntry = QueueEntry> {
	private readonly once = new FairQueue<E>();
	private readonly other = new FairQueue<E>();
	private readonly deadlines = new DeadlineHeap();
	private onceStarted = 0;
	/** Moving share of non-idempotent entries among the started ones. */
	private onceShare = 0;

	/** Number of waiting entries. */
	get size(): number {
		return this.once.size + this.other.size;
	}

	/** Earliest deadline of a waiting entry, in monotonic milliseconds; undefined when none waits. */
	get earliestDeadline(): number | undefined {
		this.dropStale();
		return this.deadlines.peek()?.deadline;
	}

	/** Returns the number of waiting entries of one caller. */
	countByCaller(caller: string): number {
		return this.once.countByCaller(caller) + this.other.countByCaller(caller);
	}

	push(entry: E): void {
		const queue = entry.repeat === Repeat.Once ? this.once : this.other;
		queue.push(entry);
		this.deadlines.push({id: entry.id, deadline: entry.deadline});
	}

	/** Removes and returns the entry whose turn it is; undefined when none waits. */
	shift(): E | undefined {
		const isOtherTurn = this.onceStarted >= maxOnceInRow && this.other.size > 0;
		const isOnce = this.once.size > 0 && !isOtherTurn;
		this.onceStarted = isOnce ? this.onceStarted + 1 : 0;
		this.onceShare += (Number(isOnce) - this.onceShare) * onceShareWeight;
		return isOnce ? this.once.shift() : this.other.shift();
	}

	/** Removes and returns one entry; undefined when it does not wait. */
	remove(id: string): E | undefined {
		return this.once.remove(id) ?? this.other.remove(id);
	}

	/** Removes and returns an entry whose deadline is not after `until`; undefined when there is none. */
	shiftExpired(until: number): E | undefined {
		const deadline = this.earliestDeadline;
		if (deadline === undefined || deadline > until) {
			return undefined;
		}

		const item = this.deadlines.pop();
		return item === undefined ? undefined : this.remove(item.id);
	}

	/** Removes and returns all entries. */
	clear(): E[] {
		this.deadlines.prune(() => false);
		return [...this.once.clear(), ...this.other.clear()];
	}

	/** Estimates the number of entries that start before a new one, including entries that may still arrive and overtake it. */
	countAhead(entry: E): number {
		if (entry.repeat === Repeat.Once) {
			return this.once.size;
		}

		const own = this.other.countByCaller(entry.caller);
		const others = this.other.callerCount - Math.min(1, own);
		const share = 1 - Math.min(this.onceShare, maxOnceInRow / (maxOnceInRow + 1));
		return this.once.size + ((own + ((own + 1) * others)) / share);
	}

	/** Returns whether the item belongs to an entry that still waits; an id may have been queued again with another deadline. */
	private isLive(item: DeadlineItem): boolean {
		const entry = this.once.get(item.id) ?? this.other.get(item.id);
		return entry?.deadline === item.deadline;
	}

	private dropStale(): void {
		for (let item = this.deadlines.peek(); item !== undefined && !this.isLive(item); item = this.deadlines.peek()) {
			this.deadlines.pop();
		}

		if (this.deadlines.size > minPruneSize && this.deadlines.size > stalePerEntry * this.size) {
			this.deadlines.prune(item => this.isLive(item));
		}
	}
}
