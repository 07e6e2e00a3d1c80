import {
	hashText, InstanceState, type InstanceRow, type Tables,
} from '../state/index.js';

/** Size of the hash ring. */
const ringSize = 2 ** 32;

/** Membership from the position of one member, computed once per state of the folded tables. */
export class MembershipView {
	/** Members, oldest first. */
	readonly members: readonly InstanceRow[];
	/** Other failure domains, sorted by distance on the hash ring. */
	readonly otherDomains: readonly string[];
	private readonly byDomain = new Map<string, InstanceRow[]>();
	private readonly sortedByDomain = new Map<string, readonly InstanceRow[]>();
	private readonly tables: Tables;
	private readonly folded: number;

	constructor(tables: Tables, private readonly selfId: string, selfDomain: string) {
		this.tables = tables;
		this.folded = tables.folded;
		this.members = [...tables.instances.values()].filter(row => row.state === InstanceState.Member);
		for (const row of this.members) {
			const rows = this.byDomain.get(row.domain) ?? [];
			rows.push(row);
			this.byDomain.set(row.domain, rows);
		}

		const domains = [...this.byDomain.keys()].filter(domain => domain !== selfDomain);
		this.otherDomains = sortByDistance(selfId, domains, domain => domain);
	}

	/** Returns whether the view was computed from the current state of these tables. */
	isCurrent(tables: Tables): boolean {
		return this.tables === tables && this.folded === tables.folded;
	}

	/** Returns the members of a failure domain, oldest first. */
	getDomainMembers(domain: string): readonly InstanceRow[] {
		return this.byDomain.get(domain) ?? [];
	}

	/** Returns the other members of a failure domain, sorted by distance on the hash ring. */
	othersByDistance(domain: string): readonly InstanceRow[] {
		const known = this.sortedByDomain.get(domain);
		if (known !== undefined) {
			return known;
		}

		const others = this.getDomainMembers(domain).filter(row => row.id !== this.selfId);
		const sorted = sortByDistance(this.selfId, others, row => row.id);
		this.sortedByDomain.set(domain, sorted);
		return sorted;
	}
}

/** Sorts items by their distance on the hash ring from the position of `from`. */
function sortByDistance<T>(from: string, items: readonly T[], idOf: (item: T) => string): T[] {
	const start = hashText(from);
	return items
		.map(item => ({item, distance: (hashText(idOf(item)) - start + ringSize) % ringSize}))
		.toSorted((a, b) => a.distance - b.distance)
		.map(entry => entry.item);
}
