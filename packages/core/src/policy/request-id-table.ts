/** What is known of a request id. */
export enum BeginResultKind {
	/** Never seen; the request may run, and its id is now kept. */
	Fresh = 'fresh',
	/** Running now. */
	Running = 'running',
	/** Ran; the answer may be kept. */
	Done = 'done',
	/** May have run elsewhere; nobody can tell. */
	Unknown = 'unknown',
	/** The id belongs to a request with other content. */
	Reused = 'reused',
	/** The table holds as many ids as it may and can't forget any yet. */
	Full = 'full',
}

/** Answer to `begin`. */
export type BeginResult<A>
	= | {readonly kind: BeginResultKind.Done; readonly answer?: A}
		| {readonly kind: Exclude<BeginResultKind, BeginResultKind.Done>};

/** How far a request came. */
export enum RunState {
	/** Its order may be under way. */
	Running = 'running',
	/** It ran. */
	Done = 'done',
	/** It may have run. */
	Unknown = 'unknown',
}

/** One id with all that is known of it; the unit of a handover. */
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
	/** Time for which an id is kept after its end, in milliseconds. */
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
 * Ids of non-idempotent requests, so that none runs twice.
 * A running one is never forgotten, and an ended one not before its window has passed, even when the table is full.
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

	/** Ids held. */
	get size(): number {
		return this.running.size + this.ended.size;
	}

	/** Asks whether a request may run; keeps its id when it may. */
	begin(req: NewRequest, now: number): BeginResult<A> {
		this.evictExpired(now);
		const row = this.get(req.id);
		if (row !== undefined) {
			return this.known(row, req);
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

	/** The request ran; keeps its answer when it is small enough. */
	finish(id: string, answer: A | undefined, answerBytes: number, now: number): void {
		const kept = answerBytes <= this.cfg.maxAnswerBytes ? answer : undefined;
		this.end(id, RunState.Done, now, kept);
	}

	/** The request may have run. */
	finishUnknown(id: string, now: number): void {
		this.end(id, RunState.Unknown, now);
	}

	/** The request is proven not to have run; its id may be used again. */
	release(id: string): void {
		this.running.delete(id);
	}

	/** Treats ids of a shard that the table does not hold as possibly run, until a monotonic time in milliseconds. */
	quarantine(shard: string, until: number): void {
		this.quarantines.set(shard, Math.max(until, this.quarantines.get(shard) ?? until));
	}

	/** Ends the quarantine of a shard, after its ids were imported. */
	clearQuarantine(shard: string): void {
		this.quarantines.delete(shard);
	}

	/** Everything known of one shard, for its next steward. Linear in the ids held. */
	exportShard(shard: string, now: number): Array<RequestRecord<A>> {
		const rows = [...this.running, ...this.ended].filter(([, row]) => row.shard === shard);
		return rows.map(([id, row]) => ({
			id, shard, fingerprint: row.fingerprint, state: row.state, ageMs: now - row.at, answer: row.answer,
		}));
	}

	/** Takes records of another steward; one that was running there may have run. Known ids win. */
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

	/** Drops all ids of a shard that was handed over. */
	dropShard(shard: string): void {
		for (const table of [this.running, this.ended]) {
			for (const [id, row] of table) {
				if (row.shard === shard) {
					table.delete(id);
				}
			}
		}
	}

	/** Forgets what is older than the window; amortised constant time. */
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

	private known(row: Row<A>, req: NewRequest): BeginResult<A> {
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
