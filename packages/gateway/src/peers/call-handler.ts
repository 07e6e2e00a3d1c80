import type {CancelSignal} from '../net/index.js';
import type {Message} from './frames.js';

/** Tells when a link is lost, also after a call that came over it has been answered. */
export type LinkState = {
	/** Calls a function once when the link is lost; at once if it is lost already. Returns a function that withdraws it. */
	readonly whenDown: (listener: () => void) => () => void;
};

/** Handles a call of another instance. `signal` aborts when the caller cancels the call or the link closes before it is answered. */
export type CallHandler = (op: string, message: Message, signal: CancelSignal, link: LinkState) => Promise<Message>;

/** Conditions that cancel a call. The timeout is a plain timer, since `AbortSignal.timeout` costs more than the rest of a call. */
export type CallOptions = {
	/** Aborts when the reply is no longer needed. */
	readonly signal?: CancelSignal;
	/** Longest wait for the reply, in milliseconds. */
	readonly timeoutMs?: number;
};
