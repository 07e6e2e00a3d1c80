import {Agent, request} from 'undici';
import {z} from 'zod';
import type {ListedTarget} from '@bluebellyard/core';

const membersSchema = z.object({
	members: z.array(z.object({
		role: z.enum(['target', 'instance']),
		name: z.string(),
		domain: z.string(),
		pool: z.string().optional(),
		addr: z.string().optional(),
		state: z.enum(['live', 'leaving']),
	})),
});

/** Timeout of one read of the membership list, in milliseconds. */
const readTimeoutMs = 2000;

/** Largest list, in bytes; many times that of some thousand members. */
const maxListBytes = 4 * 1024 * 1024;

const agent = new Agent({maxResponseSize: maxListBytes});

/** Contents of the platform's membership list, which lags behind the actual state. */
export type MembershipListing = {
	readonly targets: readonly ListedTarget[];
	readonly instances: readonly string[];
	/** Peer addresses of the listed instances. */
	readonly peerAddrs: readonly string[];
};

/** Reads the platform's membership list. Rejects when the service is unreachable or the list is malformed. */
async function readMembership(origin: string): Promise<MembershipListing> {
	const res = await request(`${origin}/members`, {signal: AbortSignal.timeout(readTimeoutMs), dispatcher: agent});
	const {members} = membersSchema.parse(await res.body.json());
	const targets = members
		.filter(member => member.role === 'target')
		.map(({name, pool = '', domain, addr = '', state}) => ({
			name, pool, domain, addr, isLeaving: state === 'leaving',
		}));
	const instances = members.filter(member => member.role === 'instance');
	return {
		targets,
		instances: instances.map(({name}) => name),
		peerAddrs: instances.map(({addr}) => addr).filter(addr => addr !== undefined),
	};
}

/** Reads the membership list of the platform, also while an earlier read is in progress. */
export class MembershipReader {
	/** Returns a reader of the list at `origin`. */
	static forOrigin(origin: string): MembershipReader {
		return new MembershipReader(async () => readMembership(origin));
	}

	private readonly read: () => Promise<MembershipListing>;
	private asked = 0;
	/** Number of the read whose answer is the newest one. */
	private newest = 0;

	/** `read` reads the list once. */
	constructor(read: () => Promise<MembershipListing>) {
		this.read = read;
	}

	/** Resolves to the list; undefined when a read that began later was answered before. Rejects when the read fails. */
	async readNewest(): Promise<MembershipListing | undefined> {
		this.asked += 1;
		const number = this.asked;
		const listing = await this.read();
		if (number < this.newest) {
			return undefined;
		}

		this.newest = number;
		return listing;
	}
}
