import {z} from 'zod';

/** How a stand-in fails while it is down. */
export enum DownMode {
	/** It is not down. */
	None = 'no',
	/** Connections are refused. */
	Refused = 'refused',
	/** Connections are accepted and then closed without an answer. */
	Reset = 'reset',
	/** Requests are answered with 503. */
	Unavailable = 'unavailable',
}

/** Fault switches that every stand-in has. */
export const commonFaults = z.strictObject({
	/** Kind of outage, if any. */
	down: z.enum(DownMode),
	/** Time after which a stand-in that refuses connections listens again, in milliseconds; 0 for never. */
	refusedMs: z.number().nonnegative(),
	/** Delay before each request is handled, in milliseconds. */
	slowMs: z.number().nonnegative(),
	/** Senders (values of the `x-from` header) whose connections are closed without an answer. */
	cut: z.array(z.string()),
});

/** Fault switches that every stand-in has. */
export type CommonFaults = z.infer<typeof commonFaults>;

/** All common faults switched off. */
export const noCommonFaults: CommonFaults = {
	down: DownMode.None, refusedMs: 0, slowMs: 0, cut: [],
};
