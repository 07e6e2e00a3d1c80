import {OrderEnd, type LedgerEntry} from '@bluebellyard/standins';

/** What a ledger can prove against the system. */
export enum ViolationKind {
	/** Work that must run at most once began more than once. */
	RanTwice = 'ran-twice',
	/** Work began although the caller was told that it was not run. */
	NotRunThatRan = 'not-run-that-ran',
	/** The caller got an answer to something that no target ran. */
	OkWithoutRun = 'ok-without-run',
	/** The caller got another answer than its own. */
	WrongAnswer = 'wrong-answer',
	/** The caller got a part of its answer as if it were whole. */
	TruncatedAnswer = 'truncated-answer',
	/** Two targets worked on one shard at the same time, or an old owner after a new one. */
	TwoOwners = 'two-owners',
	/** An order was sent to a target all of whose slots were taken. */
	SlotLimit = 'slot-limit',
	/** An order was sent to a cold target beyond what it bore. */
	ColdLimit = 'cold-limit',
}

/** One finding. */
export type Violation = {
	readonly kind: ViolationKind;
	/** What shows it, in a short sentence. */
	readonly detail: string;
};

/** Whether an order had an effect, or may have had one. */
export function hasStarted(entry: LedgerEntry): boolean {
	return entry.end !== OrderEnd.NotRun;
}
