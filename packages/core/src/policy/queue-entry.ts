import type {ErrorKind} from '../errors/index.js';
import type {Repeat} from '../rules/index.js';

/**
 * One request offered to the admission of a target.
 */
export type QueueEntry = {
	/** Unique among the requests that wait or run at the target. */
	readonly id: string;
	/** Name of the caller; callers get equal turns. */
	readonly caller: string;
	readonly repeat: Repeat;
	/** Monotonic time in milliseconds after which an answer is useless. */
	readonly deadline: number;
	/** Whether the request was already admitted once, by another steward or before a refusal that proves "not run". */
	readonly admitted?: boolean;
	/** False when the request must be refused instead of queued, so that its instance can try another target. */
	readonly mayWait?: boolean;
};

/** Result of an offer. */
export enum AdmissionKind {
	/** The request must be sent now. */
	Start = 'start',
	/** The request waits; a later decision starts or refuses it. */
	Queued = 'queued',
	/** The request will not be sent. */
	Refused = 'refused',
}

/** Result of an offer, with the kind of error for a refusal. */
export type Admission
	= | {readonly kind: AdmissionKind.Start}
		| {readonly kind: AdmissionKind.Queued}
		| {readonly kind: AdmissionKind.Refused; readonly error: ErrorKind};

/** A queued entry that will not be sent, with the reason. */
export type Refusal<E extends QueueEntry = QueueEntry> = {
	readonly entry: E;
	readonly error: ErrorKind;
};

/** Entries to send and entries to refuse now. */
export type AdmissionDecision<E extends QueueEntry = QueueEntry> = {
	readonly start: readonly E[];
	readonly refuse: ReadonlyArray<Refusal<E>>;
};

/** Outcome of a started request, as far as it concerns the target. */
export enum OrderOutcome {
	/** The complete answer arrived. */
	Answered = 'answered',
	/** The target refused the request before running it. */
	Shed = 'shed',
	/** The target rejected the fencing token. */
	Fenced = 'fenced',
	/** The target did not answer in time. */
	TimedOut = 'timed-out',
	/** The connection failed or broke. */
	Lost = 'lost',
	/** The caller or a hedge cancelled the request. */
	Cancelled = 'cancelled',
}

/** Outcome of a started request, with the incarnation of its target. */
export type OrderCompletion = {
	readonly outcome: OrderOutcome;
	/** Incarnation of the target, when its answer named one. */
	readonly incarnation?: string;
};

/** Result of a cancellation. */
export enum CancelResult {
	/** The request waited and will not be sent. */
	Dequeued = 'dequeued',
	/** The request is in flight and keeps its slot until `finish`. */
	InFlight = 'in-flight',
	/** The request neither waits nor runs. */
	Unknown = 'unknown',
}
