/** Time for which a lost run is kept while it is unknown whether its target is gone, in milliseconds; the platform removes the record of a silent target within this time. */
const lostRunValidMs = 10_000;

/** Largest number of lost runs kept for one target. */
const maxLostRuns = 64;

type LostRun<T> = {
	readonly request: T;
	readonly at: number;
};

type Run = {
	/** Monotonic milliseconds. */
	readonly startedAt: number;
	/** Whether it was returned as a suspect already. */
	isSuspect: boolean;
};

type TargetRuns<T> = {
	/** Requests that run now. */
	readonly running: Map<T, Run>;
	readonly lost: Array<LostRun<T>>;
	isGone: boolean;
};

/**
 * Records which requests of this instance run at each target, and which ended without an answer since the target's last
 * sign of life: if the target turns out to be gone, each of them may have crashed it.
 */
export class RunLedger<T> {
	private readonly targets = new Map<string, TargetRuns<T>>();

	/** Records the start of a request at a target. */
	recordStart(target: string, request: T, now: number): void {
		const runs = this.targets.get(target) ?? {running: new Map<T, Run>(), lost: [], isGone: false};
		this.targets.set(target, runs);
		runs.running.set(request, {startedAt: now, isSuspect: false});
	}

	/**
	 * Records that the target answered a request. An answer to a request that started after a run was lost proves that
	 * the target outlived that run. Returns whether the target had been taken for gone.
	 */
	recordAnswer(target: string, request: T): boolean {
		const runs = this.targets.get(target);
		const run = runs?.running.get(request);
		if (runs === undefined || run === undefined) {
			return false;
		}

		runs.running.delete(request);
		const outlived = runs.lost.filter(({at}) => at <= run.startedAt);
		runs.lost.splice(0, outlived.length);
		const wasGone = runs.isGone;
		runs.isGone = false;
		return wasGone;
	}

	/** Records that a request ended in a way that says nothing about the target. */
	recordEnd(target: string, request: T): void {
		this.targets.get(target)?.running.delete(request);
	}

	/** Records that a request ended without an answer though it may have run. */
	recordLoss(target: string, request: T, now: number): void {
		const runs = this.targets.get(target);
		const run = runs?.running.get(request);
		if (runs === undefined || run === undefined) {
			return;
		}

		runs.running.delete(request);
		if (!run.isSuspect) {
			runs.lost.push({request, at: now});
			runs.lost.splice(0, runs.lost.length - maxLostRuns);
		}
	}

	/** Returns whether runs were lost at a target since its last sign of life. */
	hasLost(target: string): boolean {
		return (this.targets.get(target)?.lost.length ?? 0) > 0;
	}

	/** Returns whether a target was taken for gone and has not answered since. */
	isGone(target: string): boolean {
		return this.targets.get(target)?.isGone ?? false;
	}

	/**
	 * Records that a target is gone. Returns the requests that it had begun: those lost recently and, as their connections
	 * end with it, those that still run. Each request is returned once.
	 */
	takeSuspects(target: string, now: number): T[] {
		const runs = this.targets.get(target);
		if (runs === undefined) {
			return [];
		}

		runs.isGone = true;
		const lost = runs.lost.splice(0).filter(({at}) => now - at <= lostRunValidMs).map(({request}) => request);
		const running = [...runs.running].filter(([, run]) => !run.isSuspect);
		for (const [, run] of running) {
			run.isSuspect = true;
		}

		return [...lost, ...running.map(([request]) => request)];
	}

	/** Removes the targets for which `isKnown` returns false and at which nothing runs, and returns those that had lost runs. */
	prune(isKnown: (target: string) => boolean): string[] {
		const removed: string[] = [];
		for (const [target, runs] of this.targets) {
			if (isKnown(target)) {
				continue;
			}

			if (runs.lost.length > 0) {
				removed.push(target);
			} else if (runs.running.size === 0) {
				this.targets.delete(target);
			}
		}

		return removed;
	}
}
