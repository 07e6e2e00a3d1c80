import type {KeyRange} from '@bluebellyard/core';
import type {TargetHeaders} from './wire.js';

/** Grants keys to a target, or renews their lease. */
export type GrantRequest = KeyRange & {
	readonly fence: number;
	readonly leaseMs: number;
	/** State that the previous owner handed over with the keys. */
	readonly handover?: string;
	/** Whether the target has accepted this grant before, so that another answer to it changes nothing. */
	readonly isRenewal?: boolean;
};

/** The process that a request is for. Another process may have taken over its address. */
export type TargetRef = {
	readonly addr: string;
	/** Name that the process must have to carry out the request. */
	readonly name: string;
};

/** A target's answer to a grant. */
export enum GrantReply {
	Accepted = 'accepted',
	/** The target has seen a higher fencing token for one of the keys. */
	Fenced = 'fenced',
	/** Another process has the address. */
	Misdirected = 'misdirected',
	/** The target refused for another reason. */
	Refused = 'refused',
}

/** Thrown when no connection could be opened, so that the request was certainly not sent. */
export class UnsentError extends Error {
	override readonly name = 'UnsentError';
}

/**
 * Grants keys to targets and releases them. Both methods reject if there is no answer in time; the target may still
 * carry out the request later, except after an `UnsentError`.
 */
export abstract class TargetControl {
	/** Called with the headers of each answer of the target itself. */
	onAnswer: ((target: TargetRef, headers: TargetHeaders) => void) | undefined;

	/** Called when the answer of a target did not end, and its connection was closed for that. The answer counts. */
	onEndlessAnswer: ((target: TargetRef) => void) | undefined;

	abstract grant(target: TargetRef, request: GrantRequest, timeoutMs: number): Promise<GrantReply>;

	/** Revokes a grant of keys. Resolves, once the running requests have ended, to the state to hand over to the next owner. */
	abstract release(target: TargetRef, range: KeyRange & {readonly fence: number}, timeoutMs: number): Promise<string | undefined>;
}
