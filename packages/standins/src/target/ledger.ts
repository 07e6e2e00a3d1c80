import type {LedgerJournal} from './ledger-journal.js';

/** Outcome of an order at a target. */
export enum OrderEnd {
	/** The order ran to completion. */
	Ran = 'ran',
	/** The order started and was aborted. */
	Aborted = 'aborted',
	/** The order was refused and never started. */
	NotRun = 'not-run',
	/** The order is still running. */
	Running = 'running',
}

/** One order that a target received. */
export type LedgerEntry = {
	/** Index of the entry in the ledger, from 0. */
	seq: number;
	/** Value of `x-order-id`. */
	readonly order: string;
	/** Value of `idempotency-key`; empty if there is none. */
	readonly request: string;
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly pool: string;
	/** Shard; -1 if the order names none. */
	readonly shard: number;
	/** Fence; -1 if the order names none. */
	readonly fence: number;
	/** Incarnation of the target that received the order. */
	readonly incarnation: string;
	/** Time at which the order started or was refused, in milliseconds of the machine-wide clock. */
	readonly started: number;
	/** Time at which the order ended, by the same clock. */
	ended: number;
	end: OrderEnd;
	/** Why the order did not run to completion; empty if it did. */
	reason: string;
};

/** Counters of one target. */
export type LedgerTotals = {
	received: number;
	ran: number;
	aborted: number;
	notRun: number;
	/** Orders received while all slots were in use. */
	slotViolations: number;
	/** Orders received while a cold target was running as many as it could. */
	coldViolations: number;
	/** Number of times that the target fell over. */
	falls: number;
	/** Maximum number of orders that ran at the same time. */
	maxRunning: number;
};

/** Contents of the ledger of a target. */
export type LedgerDump = {
	readonly target: string;
	readonly totals: LedgerTotals;
	readonly entries: readonly LedgerEntry[];
};

/** Records every order that a target receives. */
export class Ledger {
	readonly totals: LedgerTotals = {
		received: 0, ran: 0, aborted: 0, notRun: 0,
		slotViolations: 0, coldViolations: 0, falls: 0, maxRunning: 0,
	};

	private readonly entries: LedgerEntry[] = [];
	private readonly target: string;
	private readonly journal: LedgerJournal | undefined;

	constructor(target: string, journal?: LedgerJournal) {
		this.target = target;
		this.journal = journal;
	}

	/** Adds an order that starts now; `running` orders run with it included. */
	begin(entry: LedgerEntry, running: number): void {
		this.totals.maxRunning = Math.max(this.totals.maxRunning, running);
		this.add(entry);
	}

	/** Records the end of an order that had started. */
	finish(entry: LedgerEntry, end: OrderEnd.Ran | OrderEnd.Aborted, reason: string, now: number): void {
		entry.end = end;
		entry.ended = now;
		entry.reason = reason;
		this.totals[end]++;
		this.journal?.write(entry);
	}

	/** Adds an order that is refused. */
	refuse(entry: LedgerEntry, reason: string): void {
		entry.end = OrderEnd.NotRun;
		entry.reason = reason;
		this.totals.notRun++;
		this.add(entry);
	}

	/** Returns the totals and the entries from index `from` on. */
	dump(from = 0): LedgerDump {
		return {target: this.target, totals: this.totals, entries: this.entries.slice(from)};
	}

	private add(entry: LedgerEntry): void {
		entry.seq = this.entries.length;
		this.totals.received++;
		this.entries.push(entry);
		this.journal?.write(entry);
	}
}
