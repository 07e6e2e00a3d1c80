/** Time for which a named limit holds without another answer of the target, in milliseconds; after it nothing says that it still holds. */
const limitValidMs = 10_000;

/** Time for which the end of a limit is reported, in milliseconds; several reports fit, so that a lost one does not matter. */
const reportEndMs = 5000;

/** Age up to which own answers count as newer than what other instances report, in milliseconds; a report takes up to this long. */
const reportDelayMs = 1500;

/** What one answer of a target says about the target. All times are monotonic milliseconds. */
export type TargetAnswer = {
	/** Limit that the answer names, in requests per second; undefined if it names none. */
	readonly limit: number | undefined;
	/** Whether the absence of a limit in this answer means that there is none. */
	readonly isConclusive: boolean;
	/** When the request was sent. */
	readonly sentAt: number;
	readonly now: number;
};

/** A change of the limit of a target, in requests per second; undefined stands for no limit. */
export type LimitChange = {
	readonly before: number | undefined;
	readonly after: number | undefined;
};

/** What an instance heard about a target from its own answers: target id, limit (null for none) and age of the answer in milliseconds. */
export type ConditionReport = readonly [target: string, limit: number | null, ageMs: number];

type OwnCondition = {
	/** Requests per second; undefined without a limit. */
	readonly limit: number | undefined;
	/** When the last own answer said so. */
	readonly at: number;
};

type ReportedCondition = {
	readonly limit: number | undefined;
	/** When this instance learned of it. */
	readonly changedAt: number;
};

/**
 * What targets say about themselves, from own answers and from reports of other instances.
 *
 * Answers may arrive out of order. A stricter limit applies at once; a looser one, or the end of the limit, only if the
 * request was sent after the present limit was heard, so that the answer is certainly newer.
 */
export class TargetConditions {
	private readonly own = new Map<string, OwnCondition>();
	private readonly reported = new Map<string, ReportedCondition>();

	/** Whether nothing is known about any target. */
	get isEmpty(): boolean {
		return this.own.size === 0 && this.reported.size === 0;
	}

	/** Returns the limit of a target in requests per second; undefined without a limit. */
	limit(target: string, now: number): number | undefined {
		const own = this.own.get(target);
		const reported = this.reported.get(target);
		const isReportNewer = reported !== undefined && reported.changedAt > (own?.at ?? Number.NEGATIVE_INFINITY) + reportDelayMs;
		if (own === undefined || isReportNewer || now - own.at > limitValidMs) {
			return reported?.limit;
		}

		return own.limit;
	}

	/** Returns the targets with a limit, with their limits. */
	limits(now: number): Map<string, number> {
		const limits = new Map<string, number>();
		for (const target of new Set([...this.own.keys(), ...this.reported.keys()])) {
			const limit = this.limit(target, now);
			if (limit !== undefined) {
				limits.set(target, limit);
			}
		}

		return limits;
	}

	/** Records an answer. Returns the change, if there is one. */
	recordAnswer(target: string, {limit, isConclusive, sentAt, now}: TargetAnswer): LimitChange | undefined {
		const before = this.limit(target, now);
		if (limit === undefined && (before === undefined || !isConclusive)) {
			return undefined;
		}

		const isStricter = limit !== undefined && (before === undefined || limit <= before);
		const heardAt = Math.max(this.own.get(target)?.at ?? Number.NEGATIVE_INFINITY, this.reported.get(target)?.changedAt ?? Number.NEGATIVE_INFINITY);
		if (!isStricter && sentAt < heardAt) {
			return undefined;
		}

		this.own.set(target, {limit, at: now});
		return limit === before ? undefined : {before, after: limit};
	}

	/** Replaces what the instances together know: the limits by target id, in requests per second. Own recent answers go before it. */
	applyReported(limits: ReadonlyMap<string, number>, now: number): void {
		for (const [target, {limit}] of this.reported) {
			if (limit !== undefined && !limits.has(target)) {
				this.reported.set(target, {limit: undefined, changedAt: now});
			}
		}

		for (const [target, limit] of limits) {
			if (this.reported.get(target)?.limit !== limit) {
				this.reported.set(target, {limit, changedAt: now});
			}
		}
	}

	/** Returns what own answers said recently, for the other instances. */
	report(now: number): ConditionReport[] {
		const reports: ConditionReport[] = [];
		for (const [target, {limit, at}] of this.own) {
			const ageMs = now - at;
			if (ageMs <= (limit === undefined ? reportEndMs : limitValidMs)) {
				reports.push([target, limit ?? null, Math.round(ageMs)]);
			}
		}

		return reports;
	}

	/** Removes the targets for which `isKnown` returns false, and what is out of date. */
	prune(isKnown: (target: string) => boolean, now: number): void {
		for (const [target, {at}] of this.own) {
			if (!isKnown(target) || now - at > limitValidMs) {
				this.own.delete(target);
			}
		}

		for (const [target, {limit, changedAt}] of this.reported) {
			if (!isKnown(target) || (limit === undefined && now - changedAt > limitValidMs)) {
				this.reported.delete(target);
			}
		}
	}
}
