/** Growth that a body reports at once, in bytes, so that small bodies cost nothing. */
const stepBytes = 65_536;

/** What one body takes of a budget. */
export class BudgetShare {
	private takenBytes = 0;
	private isFixed = false;
	private readonly budget: BodyBudget;
	private readonly onEvict: () => void;

	constructor(budget: BodyBudget, onEvict: () => void) {
		this.budget = budget;
		this.onEvict = onEvict;
	}

	/** Bytes that count towards the budget. */
	get bytes(): number {
		return this.takenBytes;
	}

	/** Whether the body is complete, so that it can't be given up any more. */
	get isComplete(): boolean {
		return this.isFixed;
	}

	/** Records how many bytes the body has now. */
	update(bytes: number): void {
		if (bytes - this.takenBytes >= stepBytes) {
			this.takenBytes = bytes;
			this.budget.add(this);
		}
	}

	/** Records that the body is complete; it counts until `release`. */
	complete(): void {
		this.isFixed = true;
	}

	/** Records that the body is held no longer. */
	release(): void {
		this.takenBytes = 0;
		this.budget.remove(this);
	}

	/** Gives the body up. */
	evict(): void {
		this.release();
		this.onEvict();
	}
}

/**
 * Limits the bytes of all bodies that a process holds at once. A limit of each body bounds nothing, as their number is that
 * of the requests. Over the limit the largest incomplete body is given up, so that small ones are not affected.
 */
export class BodyBudget {
	private readonly shares = new Set<BudgetShare>();
	private readonly limitBytes: number;

	/** `limitBytes` is the largest sum, in bytes. */
	constructor(limitBytes: number) {
		this.limitBytes = limitBytes;
	}

	/** Begins to count a body. `onEvict` is called when it is given up. */
	open(onEvict: () => void): BudgetShare {
		return new BudgetShare(this, onEvict);
	}

	/** Counts a share that has grown, and gives up the largest ones if the sum exceeds the limit. */
	add(share: BudgetShare): void {
		this.shares.add(share);
		while (this.sum() > this.limitBytes) {
			const largest = this.findLargest();
			if (largest === undefined) {
				return;
			}

			largest.evict();
		}
	}

	/** Counts a share no longer. */
	remove(share: BudgetShare): void {
		this.shares.delete(share);
	}

	private sum(): number {
		let sum = 0;
		for (const {bytes} of this.shares) {
			sum += bytes;
		}

		return sum;
	}

	private findLargest(): BudgetShare | undefined {
		let largest: BudgetShare | undefined;
		for (const share of this.shares) {
			if (!share.isComplete && share.bytes > (largest?.bytes ?? 0)) {
				largest = share;
			}
		}

		return largest;
	}
}
