/**
 * Asks instances at their control addresses.
 */
import {request} from 'undici';
import {z} from 'zod';

const targetStatus = z.object({
	target: z.string(),
	pool: z.string(),
	domain: z.string(),
	steward: z.string(),
	tenure: z.number(),
	state: z.string(),
	shards: z.number(),
});

const instanceStatus = z.object({
	instance: z.string(),
	domain: z.string(),
	/** Offset of the last record folded. */
	folded: z.number(),
	/** Offset of the configuration in force. */
	config: z.number(),
	ready: z.boolean(),
	/** Time until the right of the instance runs out, in milliseconds; null when it does not. */
	rightMs: z.number().nullish(),
	targets: z.array(targetStatus),
	instances: z.array(z.unknown()),
});

const explanation = z.record(z.string(), z.unknown());

/** What an instance says about one target. */
export type TargetStatus = z.infer<typeof targetStatus>;

/** What an instance says about itself and the targets. */
export type InstanceStatus = z.infer<typeof instanceStatus>;

/** Where an instance would send a request, and why. */
export type Explanation = z.infer<typeof explanation>;

/** Asks instances; each call fails when there is no usable answer. */
export abstract class InstanceClient {
	/** `address` is the control address, `ip:port`. */
	abstract fetchStatus(address: string): Promise<InstanceStatus>;

	abstract fetchExplanation(address: string, method: string, path: string): Promise<Explanation>;
}

/** Asks by HTTP. */
export class HttpInstanceClient extends InstanceClient {
	constructor(private readonly timeoutMs: number) {
		super();
	}

	override async fetchStatus(address: string): Promise<InstanceStatus> {
		return instanceStatus.parse(await this.get(address, '/status'));
	}

	override async fetchExplanation(address: string, method: string, path: string): Promise<Explanation> {
		const query = new URLSearchParams({method, path});
		return explanation.parse(await this.get(address, `/explain?${query.toString()}`));
	}

	private async get(address: string, path: string): Promise<unknown> {
		const res = await request(`http://${address}${path}`, {
			signal: AbortSignal.timeout(this.timeoutMs),
			// One answer a process run; a kept connection would delay its end.
			reset: true,
		});
		return res.body.json();
	}
}
