/**
 * Clients for the control addresses of instances.
 */
import {Agent, request} from 'undici';
import {z} from 'zod';

/** Largest answer, in bytes; many times the status of some thousand targets. */
const maxAnswerBytes = 16 * 1024 * 1024;

const agent = new Agent({maxResponseSize: maxAnswerBytes});

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
	/** Offset of the last folded record. */
	folded: z.number(),
	/** Offset of the configuration in force. */
	config: z.number(),
	ready: z.boolean(),
	/** Time until the right of the instance expires, in milliseconds; null when it does not expire. */
	rightMs: z.number().nullish(),
	targets: z.array(targetStatus),
	instances: z.array(z.unknown()),
});

const explanation = z.record(z.string(), z.unknown());

/** Status of one target as an instance reports it. */
export type TargetStatus = z.infer<typeof targetStatus>;

/** Status of an instance and of the targets, as the instance reports it. */
export type InstanceStatus = z.infer<typeof instanceStatus>;

/** Explains where a request would be routed, and by which rule. */
export type Explanation = z.infer<typeof explanation>;

/** Queries instances. Each call rejects when there is no valid answer. */
export abstract class InstanceClient {
	/** Returns the status of the instance with the control address `ip:port`. */
	abstract fetchStatus(address: string): Promise<InstanceStatus>;

	/** Returns how the instance with the control address `ip:port` would route a request. */
	abstract fetchExplanation(address: string, method: string, path: string): Promise<Explanation>;
}

/** Queries instances over HTTP. */
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
			dispatcher: agent,
			// The process exits after a few requests; an idle keep-alive connection would delay that.
			reset: true,
		});
		return res.body.json();
	}
}
