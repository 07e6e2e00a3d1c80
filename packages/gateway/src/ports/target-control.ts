import type {KeyRange} from '@bluebellyard/core';

/** Gives keys to a target, or renews them. */
export type GrantRequest = KeyRange & {
	readonly fence: number;
	readonly leaseMs: number;
	/** What the last holder handed over with the keys. */
	readonly handover?: string;
};

/** The process that an order is for. Its address may have passed on to another one. */
export type TargetRef = {
	readonly addr: string;
	/** Name that it answers to. */
	readonly name: string;
};

/** A target's answer to a grant. */
export enum GrantReply {
	Accepted = 'accepted',
	/** It has seen a higher fencing token on one of the keys. */
	Fenced = 'fenced',
	/** Another process has its address. */
	Misdirected = 'misdirected',
	/** It refused for another reason. */
	Refused = 'refused',
}

/** Orders to targets about the keys that they hold. Both methods fail when there is no answer in time; the order may be carried out later. */
export abstract class TargetControl {
	abstract grant(target: TargetRef, order: GrantRequest, timeoutMs: number): Promise<GrantReply>;

	/** Takes keys back; resolves to what is to be handed to the next holder once running work has ended. */
	abstract release(target: TargetRef, range: KeyRange & {readonly fence: number}, timeoutMs: number): Promise<string | undefined>;
}
