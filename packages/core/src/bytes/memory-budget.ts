/** Largest share that may still grow between the two limits of a budget, in bytes; ordinary requests are smaller. */
const smallShareBytes = 65_536;

/** Ratio of the limit of small shares to that of the others. */
const smallShareRatio = 1.125;

/** What one holder takes of a budget: a body, an answer, a connection. */
export class BudgetShare {
	private takenBytes = 0;
	private isFixed = false;
	private readonly budget: MemoryBudget;
	private readonly onEvict: () => void;

	constructor(budget: MemoryBudget, onEvict: () => void) {
		this.budget = budget;
		this.onEvict = onEvict;
	}

	/** Bytes that count towards the budget. */
	get bytes(): number {
		return this.takenBytes;
	}

	/** Whether the share can't be given up. */
	get isComplete(): boolean {
		return this.isFixed;
	}

	/** Records how many bytes are held now. */
	update(bytes: number): void {
		const growth = bytes - this.takenBytes;
		this.takenBytes = bytes;
		this.budget.count(this, growth);
	}

	/** Records that what is held is complete and in use, so that it can't be given up; it counts until `release`. */
	complete(): void {
		this.isFixed = true;
	}

	/** Records that it may be given up again. */
	reopen(): void {
		this.isFixed = false;
	}

	/** Records that nothing is held any longer. */
	release(): void {
		this.update(0);
	}

	/** Gives up what is held. */
	evict(): void {
		this.release();
		this.onEvict();
	}
}

/**
 * Limits the memory that a process holds for others: bodies, answers, requests that wait, connections. A limit of each
 * bounds nothing, as others choose their number. Over the limit the largest share that can be given up is, so that small
 * requests are served beside large ones; small shares are given up only when they alone exceed the limit.
 */
export class MemoryBudget {
	/** Shares that hold something, the oldest first. */
	private readonly shares = new Set<BudgetShare>();
	private readonly limitBytes: number;
	private readonly smallLimitBytes: number;
	private takenBytes = 0;

	/** `limitBytes` is the largest sum, in bytes; small shares may exceed it by an eighth. */
	constructor(limitBytes: number) {
		this.limitBytes = limitBytes;
		this.smallLimitBytes = limitBytes * smallShareRatio;
	}

	/** Sum of all shares, in bytes. */
	get bytes(): number {
		return this.takenBytes;
	}

	/** Whether not even a small share may begin. */
	get isFull(): boolean {
		return this.takenBytes > this.smallLimitBytes;
	}

	/** Returns a share that holds nothing yet. `onEvict` is called when it is given up. */
	open(onEvict: () => void): BudgetShare {
		return new BudgetShare(this, onEvict);
	}

	/** Counts the growth of a share, and gives up the largest ones if the sum exceeds the limit. Called by the share. */
	count(share: BudgetShare, growth: number): void {
		this.takenBytes += growth;
		if (share.bytes === 0) {
			this.shares.delete(share);
		} else {
			this.shares.add(share);
		}

		if (growth > 0) {
			this.enforceLimit();
		}
	}

	private enforceLimit(): void {
		while (this.takenBytes > this.limitBytes) {
			const largest = this.findLargest(this.isFull ? 0 : smallShareBytes);
			if (largest === undefined) {
				return;
			}

			largest.evict();
		}
	}

	/** Returns the largest share of more than `minBytes` that can be given up. */
	private findLargest(minBytes: number): BudgetShare | undefined {
		let largest: BudgetShare | undefined;
		for (const share of this.shares) {
			if (!share.isComplete && share.bytes > (largest?.bytes ?? minBytes)) {
				largest = share;
			}
		}

		return largest;
	}
}
