import {OrderEnd, type LedgerEntry} from '@bluebellyard/standins';

/** Kinds of violations that the ledgers of targets can prove. */
export enum ViolationKind {
	/** A request that must run at most once was started more than once. */
	RanTwice = 'ran-twice',
	/** A request was started although the caller got the answer that it was not run. */
	NotRunThatRan = 'not-run-that-ran',
	/** The caller got an answer to a request that no target ran. */
	OkWithoutRun = 'ok-without-run',
	/** The caller got the answer to a different request. */
	WrongAnswer = 'wrong-answer',
	/** The caller got a truncated answer as if it were complete. */
	TruncatedAnswer = 'truncated-answer',
	/** Two targets worked on one shard at the same time, or a former owner worked on it after the new one. */
	TwoOwners = 'two-owners',
	/** An order was sent to a target whose slots were all in use. */
	SlotLimit = 'slot-limit',
	/** An order was sent to a cold target beyond its capacity. */
	ColdLimit = 'cold-limit',
}

/** A violation that the check found. */
export type Violation = {
	readonly kind: ViolationKind;
	/** Short description of the evidence. */
	readonly detail: string;
};

/** Returns whether an order had an effect or may have had one. */
export function hasStarted(entry: LedgerEntry): boolean {
	return entry.end !== OrderEnd.NotRun;
}
