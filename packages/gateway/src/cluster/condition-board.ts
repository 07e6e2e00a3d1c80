import type {ConditionReport} from '@bluebellyard/core';

/** Time after which a limit that no instance hears any more ends, in milliseconds. */
const limitValidMs = 10_000;

/** Difference of the times of two statements up to which the stricter one counts, in milliseconds: reports take time, and the clocks of instances differ. */
const maxReportSkewMs = 500;

/** Share of the published limit below which a lower one is published at once. */
const promptShare = 0.9;

/** Smallest time between two publications of a limit that changes less, in milliseconds: each one is sent to all instances. */
const publishIntervalMs = 1000;

type Statement = {
	/** Requests per second; undefined for no limit. */
	readonly limit: number | undefined;
	/** When a target said so, in monotonic milliseconds of this process. */
	readonly at: number;
	/** Name of the instance that heard it; undefined if the former leader published it. */
	readonly reporter: string | undefined;
};

type PublishedLimit = {
	readonly limit: number;
	readonly at: number;
};

/** What targets said last, over all instances, as the leader collects it. */
export class ConditionBoard {
	private readonly statements = new Map<string, Statement>();
	private readonly published = new Map<string, PublishedLimit>();

	/** Begins with what the former leader published: limits by target id, in requests per second. */
	constructor(limits: ReadonlyMap<string, number>, now: number) {
		for (const [target, limit] of limits) {
			this.statements.set(target, {limit, at: now, reporter: undefined});
		}
	}

	/** Applies the report of an instance. */
	apply(reporter: string, reports: readonly ConditionReport[], now: number): void {
		for (const [target, reported, ageMs] of reports) {
			const statement: Statement = {limit: reported ?? undefined, at: now - ageMs, reporter};
			const known = this.statements.get(target);
			if (known === undefined || isNewer(statement, known)) {
				this.statements.set(target, statement);
			}
		}
	}

	/** Returns the limits to publish by target id, in requests per second. Forgets targets that are gone, and limits that were not heard for long. */
	limits(isKnown: (target: string) => boolean, now: number): Map<string, number> {
		const limits = new Map<string, number>();
		for (const [target, {limit, at}] of this.statements) {
			if (!isKnown(target) || now - at > limitValidMs) {
				this.statements.delete(target);
				this.published.delete(target);
			} else if (limit === undefined) {
				this.published.delete(target);
			} else {
				limits.set(target, this.publish(target, limit, now));
			}
		}

		return limits;
	}

	private publish(target: string, limit: number, now: number): number {
		const last = this.published.get(target);
		if (last !== undefined && limit >= last.limit * promptShare && now - last.at < publishIntervalMs) {
			return last.limit;
		}

		this.published.set(target, {limit, at: now});
		return limit;
	}
}

function isNewer(statement: Statement, known: Statement): boolean {
	if (statement.reporter === known.reporter) {
		return true;
	}

	const isStricter = (statement.limit ?? Number.POSITIVE_INFINITY) <= (known.limit ?? Number.POSITIVE_INFINITY);
	return statement.at > known.at + (isStricter ? -maxReportSkewMs : maxReportSkewMs);
}
