/** Result of the attempt to begin a request. */
export enum BeginResultKind {
	/** The id is new; the request may run, and the table now holds its id. */
	Fresh = 'fresh',
	/** The request is running. */
	Running = 'running',
	/** The request ran; its answer may be in the table. */
	Done = 'done',
	/** The request may have run; this cannot be determined. */
	Unknown = 'unknown',
	/** The id belongs to a request with other content. */
	Reused = 'reused',
	/** The table is full and no id has expired. */
	Full = 'full',
}

/** Result of `begin`. */
export type BeginResult<A>
	= | {readonly kind: BeginResultKind.Done; readonly answer?: A}
		| {readonly kind: Exclude<BeginResultKind, BeginResultKind.Done>};

/** State of a request in the table. */
export enum RunState {
	/** Its order may be in flight. */
	Running = 'running',
	/** It ran. */
	Done = 'done',
	/** It may have run. */
	Unknown = 'unknown',
}

/** One id with its state; the unit of a handover. */
export type RequestRecord<A> = {
	readonly id: string;
	/** Shard of the request's key. */
	readonly shard: string;
	/** Digest of the request's content. */
	readonly fingerprint: string;
	readonly state: RunState;
	/** Age of the last change, in milliseconds. */
	readonly ageMs: number;
	readonly answer?: A;
};

/** Settings of the table. */
export type RequestIdTableCfg = {
	/** Time for which an id is kept after its request ended, in milliseconds. */
	readonly windowMs: number;
	/** Largest number of ids. */
	readonly maxEntries: number;
	/** Largest answer that is kept, in bytes. */
	readonly maxAnswerBytes: number;
};

/** A new request. */
export type NewRequest = {
	readonly id: string;
	readonly shard: string;
	readonly fingerprint: string;
};

type Row<A> = {
	readonly shard: string;
	readonly fingerprint: string;
	readonly state: RunState;
	/** Monotonic time of the last change, in milliseconds. */
	readonly at: number;
	readonly answer?: A;
};

/**
 * Ids of non-idempotent requests, kept so that none runs twice.
 * The id of a running request is never evicted, and that of an ended one not before the window has passed, even when the table is full.
 */
export class RequestIdTable<A = unknown> {
	private readonly cfg: RequestIdTableCfg;
	private readonly running = new Map<string, Row<A>>();
	/** Ended requests in order of their end. */
	private readonly ended = new Map<string, Row<A>>();
	private readonly quarantines = new Map<string, number>();

	constructor(cfg: RequestIdTableCfg) {
		this.cfg = cfg;
	}

	/** Number of ids. */
	get size(): number {
		return this.running.size + this.ended.size;
	}

	/** Returns whether a request may run; stores its id if so. */
	begin(req: NewRequest, now: number): BeginResult<A> {
		this.evictExpired(now);
		const row = this.get(req.id);
		if (row !== undefined) {
			return this.resultFor(row, req);
		}

		if (this.isQuarantined(req.shard, now)) {
			return {kind: BeginResultKind.Unknown};
		}

		if (this.size >= this.cfg.maxEntries) {
			return {kind: BeginResultKind.Full};
		}

		this.running.set(req.id, {
			shard: req.shard, fingerprint: req.fingerprint, state: RunState.Running, at: now,
		});
		return {kind: BeginResultKind.Fresh};
	}

	/** Records that the request ran; stores its answer when it is small enough. */
	finish(id: string, answer: A | undefined, answerBytes: number, now: number): void {
		const kept = answerBytes <= this.cfg.maxAnswerBytes ? answer : undefined;
		this.end(id, RunState.Done, now, kept);
	}

	/** Records that the request may have run. */
	finishUnknown(id: string, now: number): void {
		this.end(id, RunState.Unknown, now);
	}

	/** Removes the id of a request that is proven not to have run; the id may be used again. */
	release(id: string): void {
		this.running.delete(id);
	}

	/** Until the given monotonic time in milliseconds, reports unknown ids of a shard as possibly run. */
	quarantine(shard: string, until: number): void {
		this.quarantines.set(shard, Math.max(until, this.quarantines.get(shard) ?? until));
	}

	/** Ends the quarantine of a shard after its ids were imported. */
	clearQuarantine(shard: string): void {
		this.quarantines.delete(shard);
	}

	/** Returns all records of one shard, for its next steward. Takes time linear in the size of the table. */
	exportShard(shard: string, now: number): Array<RequestRecord<A>> {
		const rows = [...this.running, ...this.ended].filter(([, row]) => row.shard === shard);
		return rows.map(([id, row]) => ({
			id, shard, fingerprint: row.fingerprint, state: row.state, ageMs: now - row.at, answer: row.answer,
		}));
	}

	/** Returns all records. */
	exportAll(now: number): Array<RequestRecord<A>> {
		const shards = new Set([...this.running.values(), ...this.ended.values()].map(row => row.shard));
		return [...shards].flatMap(shard => this.exportShard(shard, now));
	}

	/** Imports records of another steward. A request that was running there counts as possibly run. Ids already in the table are kept as they are. */
	importRecords(records: ReadonlyArray<RequestRecord<A>>, now: number): void {
		for (const record of records) {
			const at = Math.min(now, now - record.ageMs);
			const state = record.state === RunState.Running ? RunState.Unknown : record.state;
			if (this.get(record.id) === undefined) {
				const {shard, fingerprint, answer} = record;
				this.ended.set(record.id, {
					shard, fingerprint, state, at, answer,
				});
			}
		}

		this.sortByAge();
	}

	/** Removes all ids of a shard that was handed over. */
	dropShard(shard: string): void {
		for (const table of [this.running, this.ended]) {
			for (const [id, row] of table) {
				if (row.shard === shard) {
					table.delete(id);
				}
			}
		}
	}

	/** Evicts ended ids older than the window, in amortised constant time. */
	evictExpired(now: number): void {
		for (const [id, row] of this.ended) {
			if (row.at + this.cfg.windowMs > now) {
				return;
			}

			this.ended.delete(id);
		}
	}

	private get(id: string): Row<A> | undefined {
		return this.running.get(id) ?? this.ended.get(id);
	}

	private resultFor(row: Row<A>, req: NewRequest): BeginResult<A> {
		if (row.fingerprint !== req.fingerprint || row.shard !== req.shard) {
			return {kind: BeginResultKind.Reused};
		}

		switch (row.state) {
			case RunState.Running: {
				return {kind: BeginResultKind.Running};
			}

			case RunState.Done: {
				return {kind: BeginResultKind.Done, answer: row.answer};
			}

			case RunState.Unknown: {
				return {kind: BeginResultKind.Unknown};
			}
		}
	}

	private end(id: string, state: RunState, now: number, answer?: A): void {
		const row = this.running.get(id);
		if (row === undefined) {
			return;
		}

		this.running.delete(id);
		this.ended.set(id, {
			...row, state, at: now, answer,
		});
	}

	private isQuarantined(shard: string, now: number): boolean {
		const until = this.quarantines.get(shard);
		if (until !== undefined && until <= now) {
			this.quarantines.delete(shard);
			return false;
		}

		return until !== undefined;
	}

	private sortByAge(): void {
		const sorted = [...this.ended].toSorted(([, a], [, b]) => a.at - b.at);
		this.ended.clear();
		for (const [id, row] of sorted) {
			this.ended.set(id, row);
		}
	}
}
