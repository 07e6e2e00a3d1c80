import type {LedgerDump, LedgerEntry} from '@bluebellyard/standins';
import {groupBy} from './group-by.js';
import {hasStarted, ViolationKind, type Violation} from './violation.js';

type Owned = LedgerEntry & {readonly target: string};

/** Finds shards on which two targets worked at the same time or out of the order of fences. */
export function findTwoOwners(dumps: readonly LedgerDump[]): Violation[] {
	const owned = dumps.flatMap(({target, entries}) => entries
		.filter(entry => hasStarted(entry) && entry.shard >= 0)
		.map(entry => ({...entry, target})));
	const byShard = groupBy(owned, entry => `${entry.pool}/${entry.shard}`);
	return [...byShard].flatMap(([shard, entries]) => checkShard(shard, entries));
}

function checkShard(shard: string, entries: readonly Owned[]): Violation[] {
	const sorted = entries.toSorted((a, b) => a.started - b.started);
	const lastEnds = new Map<string, Owned>();
	const violations: Violation[] = [];
	for (const entry of sorted) {
		for (const earlier of lastEnds.values()) {
			if (earlier.target !== entry.target && conflicts(earlier, entry)) {
				violations.push(violationOf(shard, earlier, entry));
			}
		}

		const last = lastEnds.get(entry.target);
		if (!last || last.ended < entry.ended) {
			lastEnds.set(entry.target, entry);
		}
	}

	return violations;
}

/** Whether a later entry of another target overlaps an earlier one or has an older fence. */
function conflicts(earlier: Owned, later: Owned): boolean {
	return later.started < earlier.ended || later.fence < earlier.fence;
}

function violationOf(shard: string, earlier: Owned, later: Owned): Violation {
	const overlapMs = (earlier.ended - later.started).toFixed(3);
	return {
		kind: ViolationKind.TwoOwners,
		detail: `${shard}: ${later.target} (fence ${later.fence}) began ${overlapMs} ms before the end of `
			+ `${earlier.target} (fence ${earlier.fence}); orders ${earlier.order} and ${later.order}`,
	};
}
