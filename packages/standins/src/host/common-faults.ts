import {z} from 'zod';

/** How a stand-in that is down behaves. */
export enum DownMode {
	/** It works. */
	None = 'no',
	/** Connections are refused. */
	Refused = 'refused',
	/** Connections are accepted and then destroyed. */
	Reset = 'reset',
	/** Requests are answered with 503. */
	Unavailable = 'unavailable',
}

/** Fault switches that every stand-in has. */
export const commonFaults = z.strictObject({
	/** How it is down. */
	down: z.enum(DownMode),
	/** Time after which a refusing stand-in listens again, in milliseconds; 0 for never. */
	refusedMs: z.number().nonnegative(),
	/** Delay before each request is handled, in milliseconds. */
	slowMs: z.number().nonnegative(),
	/** Values of the `x-from` header whose connections are destroyed. */
	cut: z.array(z.string()),
});

/** Fault switches that every stand-in has. */
export type CommonFaults = z.infer<typeof commonFaults>;

/** All common faults switched off. */
export const noCommonFaults: CommonFaults = {
	down: DownMode.None, refusedMs: 0, slowMs: 0, cut: [],
};
