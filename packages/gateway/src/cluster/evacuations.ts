/** Key prefix of evacuations that are only known from the view of a former leader. */
const viewKeyPrefix = 'view:';

/**
 * The evacuations in force, by the key of the operator's record. One that an older copy of the store lacks stays in
 * force until the operator has had the time to write it again. One that the copy still has, though it was withdrawn
 * since, holds until the withdrawal is written again: work is sent to an evacuated failure domain in neither case.
 */
export class Evacuations {
	private readonly domainsByKey = new Map<string, string>();
	/** Time at which an evacuation without a record ends, by key. */
	private readonly endTimes = new Map<string, number>();

	/** The evacuated failure domains. */
	get domains(): ReadonlySet<string> {
		return new Set(this.domainsByKey.values());
	}

	/** Takes over the evacuated failure domains of a former leader. */
	load(domains: ReadonlySet<string>): void {
		this.endTimes.clear();
		const known = this.domains;
		for (const [key, domain] of this.domainsByKey) {
			if (!domains.has(domain)) {
				this.remove(key);
			}
		}

		for (const domain of domains) {
			if (!known.has(domain)) {
				this.domainsByKey.set(viewKeyPrefix + domain, domain);
			}
		}
	}

	/** Applies a record. */
	set(key: string, domain: string): void {
		this.domainsByKey.set(key, domain);
		this.endTimes.delete(key);
	}

	/** Applies the removal of a record. */
	remove(key: string): void {
		this.domainsByKey.delete(key);
		this.endTimes.delete(key);
	}

	/** Ends the evacuations that a listing lacks, at the given time unless their records are written again before. */
	endMissing(listed: ReadonlyMap<string, unknown>, endTime: number): void {
		for (const key of this.domainsByKey.keys()) {
			if (!listed.has(key)) {
				this.endTimes.set(key, endTime);
			}
		}
	}

	/** Removes the evacuations whose time has ended. */
	expire(now: number): void {
		for (const [key, endTime] of this.endTimes) {
			if (now >= endTime) {
				this.remove(key);
			}
		}
	}
}
