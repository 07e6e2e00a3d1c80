import type {ErrorKind} from '../errors/index.js';
import type {Repeat} from '../rules/index.js';

/**
 * One request as the gate of a target sees it.
 */
export type QueueEntry = {
	/** Unique among the requests that the gate holds. */
	readonly id: string;
	/** Name of the caller, for fairness. */
	readonly caller: string;
	readonly repeat: Repeat;
	/** Monotonic time in milliseconds at which the answer is worthless. */
	readonly deadline: number;
	/** Whether the request was admitted before, by another steward or before a refusal that proves "not run". */
	readonly admitted?: boolean;
	/** False when the request is to be refused rather than to wait, so that its instance may try another target. */
	readonly mayWait?: boolean;
};

/** What became of an offer. */
export enum AdmissionKind {
	/** Send it now. */
	Start = 'start',
	/** It waits; a later step starts or refuses it. */
	Queued = 'queued',
	/** It will not be sent. */
	Refused = 'refused',
}

/** Answer to an offer; only a refusal has an error kind. */
export type Admission
	= | {readonly kind: AdmissionKind.Start}
		| {readonly kind: AdmissionKind.Queued}
		| {readonly kind: AdmissionKind.Refused; readonly error: ErrorKind};

/** A queued entry that will not be sent, with the reason. */
export type Refusal<E extends QueueEntry = QueueEntry> = {
	readonly entry: E;
	readonly error: ErrorKind;
};

/** Entries to send now and entries to refuse now. */
export type AdmissionDecision<E extends QueueEntry = QueueEntry> = {
	readonly start: readonly E[];
	readonly refuse: ReadonlyArray<Refusal<E>>;
};

/** How a started request ended, from the target's point of view. */
export enum OrderOutcome {
	/** The whole answer arrived. */
	Answered = 'answered',
	/** The target refused before running it. */
	Shed = 'shed',
	/** The target refused its fence. */
	Fenced = 'fenced',
	/** The target did not answer in time. */
	TimedOut = 'timed-out',
	/** The connection failed or broke. */
	Lost = 'lost',
	/** The caller or a hedge cancelled it. */
	Cancelled = 'cancelled',
}

/** The end of a started request. */
export type OrderCompletion = {
	readonly outcome: OrderOutcome;
	/** Process life of the target, when its answer named one. */
	readonly incarnation?: string;
};

/** What a cancellation found. */
export enum CancelResult {
	/** It waited and will not be sent. */
	Dequeued = 'dequeued',
	/** It is in flight and keeps its slot until `finish`. */
	InFlight = 'in-flight',
	/** The gate does not hold it. */
	Unknown = 'unknown',
}
