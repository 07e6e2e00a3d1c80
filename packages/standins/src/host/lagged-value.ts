/** A value that readers see some time after it was set. */
export class LaggedValue<T> {
	private readonly versions: Array<{at: number; value: T}> = [];

	constructor(first: T, now: number) {
		this.versions.push({at: now, value: first});
	}

	/** Sets the value as of `now` milliseconds. */
	set(value: T, now: number): void {
		this.versions.push({at: now, value});
	}

	/** Newest value, without the lag. */
	get current(): T {
		return this.versions.at(-1)!.value;
	}

	/** Value as it was `lagMs` before `now`; the oldest kept one if there is none. */
	read(now: number, lagMs: number): T {
		const idx = this.versions.findLastIndex(version => version.at <= now - lagMs);
		return this.versions[Math.max(idx, 0)].value;
	}

	/** Forgets versions that were replaced more than `keepMs` before `now`. */
	trim(now: number, keepMs: number): void {
		const idx = this.versions.findLastIndex(version => version.at <= now - keepMs);
		this.versions.splice(0, Math.max(idx, 0));
	}
}
