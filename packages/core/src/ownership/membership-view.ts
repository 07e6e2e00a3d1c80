import {
	hashText, InstanceState, type InstanceRow, type Tables,
} from '../state/index.js';

/** Size of the ring of hashes. */
const ringSize = 2 ** 32;

/** The roster as one member looks at it, worked out once for each state of the folded tables. */
export class MembershipView {
	/** Members, oldest first. */
	readonly members: readonly InstanceRow[];
	/** Other failure domains, the nearest on the ring first. */
	readonly otherDomains: readonly string[];
	private readonly byDomain = new Map<string, InstanceRow[]>();
	private readonly nearestByDomain = new Map<string, readonly InstanceRow[]>();
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

	/** Whether the view still shows the tables as they are. */
	isCurrent(tables: Tables): boolean {
		return this.tables === tables && this.folded === tables.folded;
	}

	/** Members of a failure domain, oldest first. */
	membersOf(domain: string): readonly InstanceRow[] {
		return this.byDomain.get(domain) ?? [];
	}

	/** Other members of a failure domain, the nearest on the ring first. */
	othersByDistance(domain: string): readonly InstanceRow[] {
		const known = this.nearestByDomain.get(domain);
		if (known !== undefined) {
			return known;
		}

		const others = this.membersOf(domain).filter(row => row.id !== this.selfId);
		const sorted = sortByDistance(this.selfId, others, row => row.id);
		this.nearestByDomain.set(domain, sorted);
		return sorted;
	}
}

/** Items by their distance on a ring of hashes, from the position of `from`. */
function sortByDistance<T>(from: string, items: readonly T[], idOf: (item: T) => string): T[] {
	const start = hashText(from);
	return items
		.map(item => ({item, distance: (hashText(idOf(item)) - start + ringSize) % ringSize}))
		.toSorted((a, b) => a.distance - b.distance)
		.map(entry => entry.item);
}
