import type {LedgerDump, LedgerEntry} from '@bluebellyard/standins';
import {groupBy} from './group-by.js';
import {hasStarted, ViolationKind, type Violation} from './violation.js';

type TargetEntry = LedgerEntry & {readonly target: string};

/** Finds shards on which two targets worked at the same time, or on which an older fence was used after a newer one. */
export function findTwoOwners(dumps: readonly LedgerDump[]): Violation[] {
	const targetEntries = dumps.flatMap(({target, entries}) => entries
		.filter(entry => hasStarted(entry) && entry.shard >= 0)
		.map(entry => ({...entry, target})));
	const byShard = groupBy(targetEntries, entry => `${entry.pool}/${entry.shard}`);
	return [...byShard].flatMap(([shard, entries]) => checkShard(shard, entries));
}

function checkShard(shard: string, entries: readonly TargetEntry[]): Violation[] {
	const sorted = entries.toSorted((a, b) => a.started - b.started);
	const latestByTarget = new Map<string, TargetEntry>();
	const violations: Violation[] = [];
	for (const entry of sorted) {
		for (const earlier of latestByTarget.values()) {
			if (earlier.target !== entry.target && conflicts(earlier, entry)) {
				violations.push(createViolation(shard, earlier, entry));
			}
		}

		const latest = latestByTarget.get(entry.target);
		if (!latest || latest.ended < entry.ended) {
			latestByTarget.set(entry.target, entry);
		}
	}

	return violations;
}

/** Returns whether a later entry of another target overlaps an earlier one or has an older fence. */
function conflicts(earlier: TargetEntry, later: TargetEntry): boolean {
	return later.started < earlier.ended || later.fence < earlier.fence;
}

function createViolation(shard: string, earlier: TargetEntry, later: TargetEntry): Violation {
	const overlapMs = (earlier.ended - later.started).toFixed(3);
	return {
		kind: ViolationKind.TwoOwners,
		detail: `${shard}: ${later.target} (fence ${later.fence}) started ${overlapMs} ms before the end of `
			+ `${earlier.target} (fence ${earlier.fence}); orders ${earlier.order} and ${later.order}`,
	};
}
