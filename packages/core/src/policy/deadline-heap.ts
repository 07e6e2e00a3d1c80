/** Deadline of a waiting entry. */
export type DeadlineItem = {
	readonly id: string;
	/** Monotonic time in milliseconds. */
	readonly deadline: number;
};

/** Binary min-heap of deadlines; `push` and `pop` take logarithmic time. */
export class DeadlineHeap {
	private readonly items: DeadlineItem[] = [];

	/** Number of items, including those of entries that no longer wait. */
	get size(): number {
		return this.items.length;
	}

	push(item: DeadlineItem): void {
		this.items.push(item);
		this.siftUp(this.items.length - 1);
	}

	/** Returns the item with the earliest deadline. */
	peek(): DeadlineItem | undefined {
		return this.items[0];
	}

	/** Removes and returns the item with the earliest deadline. */
	pop(): DeadlineItem | undefined {
		const [first] = this.items;
		const last = this.items.pop();
		if (last !== undefined && this.items.length > 0) {
			this.items[0] = last;
			this.siftDown(0);
		}

		return first;
	}

	/** Removes the items for which `keep` returns false; sorts the rest. */
	prune(keep: (item: DeadlineItem) => boolean): void {
		const kept = this.items.filter(item => keep(item));
		kept.sort((a, b) => a.deadline - b.deadline);
		this.items.splice(0, this.items.length, ...kept);
	}

	private siftUp(start: number): void {
		let idx = start;
		while (idx > 0) {
			const parent = Math.floor((idx - 1) / 2);
			if (this.items[parent].deadline <= this.items[idx].deadline) {
				return;
			}

			this.swap(parent, idx);
			idx = parent;
		}
	}

	private siftDown(start: number): void {
		let idx = start;
		for (;;) {
			const child = this.earlierChild(idx);
			if (child === undefined || this.items[idx].deadline <= this.items[child].deadline) {
				return;
			}

			this.swap(idx, child);
			idx = child;
		}
	}

	private earlierChild(idx: number): number | undefined {
		const left = (2 * idx) + 1;
		const right = left + 1;
		if (left >= this.items.length) {
			return undefined;
		}

		return right < this.items.length && this.items[right].deadline < this.items[left].deadline ? right : left;
	}

	private swap(a: number, b: number): void {
		[this.items[a], this.items[b]] = [this.items[b], this.items[a]];
	}
}
