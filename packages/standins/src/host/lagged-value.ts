/** A value with its earlier versions, so that readers can see it with a lag. */
export class LaggedValue<T> {
	private readonly versions: Array<{at: number; value: T}> = [];

	constructor(first: T, now: number) {
		this.versions.push({at: now, value: first});
	}

	/** Sets the value from time `now` on, in milliseconds. */
	set(value: T, now: number): void {
		this.versions.push({at: now, value});
	}

	/** Newest value, without lag. */
	get current(): T {
		return this.versions.at(-1)!.value;
	}

	/** Returns the value as it was `lagMs` before `now`, or the oldest one kept if that is newer. */
	read(now: number, lagMs: number): T {
		const idx = this.versions.findLastIndex(version => version.at <= now - lagMs);
		return this.versions[Math.max(idx, 0)].value;
	}

	/** Drops versions that were replaced more than `keepMs` before `now`. */
	trim(now: number, keepMs: number): void {
		const idx = this.versions.findLastIndex(version => version.at <= now - keepMs);
		this.versions.splice(0, Math.max(idx, 0));
	}
}
