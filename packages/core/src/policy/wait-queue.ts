import {Repeat} from '../rules/index.js';
import {DeadlineHeap, type DeadlineItem} from './deadline-heap.js';
import type {QueueEntry} from './queue-entry.js';
import {FairQueue} from './fair-queue.js';

/** Entries of non-idempotent work in a row, after which other work gets one turn. */
const onceInRow = 3;

/** Weight of a start in the share of non-idempotent work. */
const shareWeight = 0.02;

/** Dead items that the heap may hold for each live one before it is pruned. */
const deadPerLive = 4;

/** Smallest heap that is pruned. */
const minPrune = 64;

/**
 * Entries that wait for one target: non-idempotent work first, callers in turn, deadlines watched.
 */
export class WaitQueue<E extends QueueEntry = QueueEntry> {
	private readonly once = new FairQueue<E>();
	private readonly other = new FairQueue<E>();
	private readonly deadlines = new DeadlineHeap();
	private onceStarted = 0;
	/** Share of starts that went to non-idempotent work. */
	private onceShare = 0;

	/** Entries that wait. */
	get size(): number {
		return this.once.size + this.other.size;
	}

	/** Earliest deadline of an entry that waits, in monotonic milliseconds. */
	get earliestDeadline(): number | undefined {
		this.dropDead();
		return this.deadlines.peek()?.deadline;
	}

	/** Entries of one caller that wait. */
	countByCaller(caller: string): number {
		return this.once.countByCaller(caller) + this.other.countByCaller(caller);
	}

	/** Adds an entry. */
	push(entry: E): void {
		const queue = entry.repeat === Repeat.Once ? this.once : this.other;
		queue.push(entry);
		this.deadlines.push({id: entry.id, deadline: entry.deadline});
	}

	/** Takes the entry whose turn it is. */
	shift(): E | undefined {
		const otherTurn = this.onceStarted >= onceInRow && this.other.size > 0;
		const isOnce = this.once.size > 0 && !otherTurn;
		this.onceStarted = isOnce ? this.onceStarted + 1 : 0;
		this.onceShare += (Number(isOnce) - this.onceShare) * shareWeight;
		return isOnce ? this.once.shift() : this.other.shift();
	}

	/** Takes out one entry; undefined when it does not wait. */
	remove(id: string): E | undefined {
		return this.once.remove(id) ?? this.other.remove(id);
	}

	/** Takes out an entry whose deadline is not after `until`; undefined when there is none. */
	shiftExpired(until: number): E | undefined {
		const deadline = this.earliestDeadline;
		if (deadline === undefined || deadline > until) {
			return undefined;
		}

		const item = this.deadlines.pop();
		return item === undefined ? undefined : this.remove(item.id);
	}

	/** Takes out everything. */
	clear(): E[] {
		this.deadlines.prune(() => false);
		return [...this.once.clear(), ...this.other.clear()];
	}

	/** Entries that may go before a new one, those counted that may still come and go before it. */
	countAhead(entry: E): number {
		if (entry.repeat === Repeat.Once) {
			return this.once.size;
		}

		const own = this.other.countByCaller(entry.caller);
		const others = this.other.callerCount - Math.min(1, own);
		const share = 1 - Math.min(this.onceShare, onceInRow / (onceInRow + 1));
		return this.once.size + ((own + ((own + 1) * others)) / share);
	}

	/** Whether the item belongs to an entry that still waits; an id may come back with another deadline. */
	private isLive(item: DeadlineItem): boolean {
		const entry = this.once.get(item.id) ?? this.other.get(item.id);
		return entry?.deadline === item.deadline;
	}

	private dropDead(): void {
		for (let item = this.deadlines.peek(); item !== undefined && !this.isLive(item); item = this.deadlines.peek()) {
			this.deadlines.pop();
		}

		if (this.deadlines.size > minPrune && this.deadlines.size > deadPerLive * this.size) {
			this.deadlines.prune(item => this.isLive(item));
		}
	}
}
