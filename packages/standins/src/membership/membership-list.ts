import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {
	commonFaults, HttpStandIn, LaggedValue, noCommonFaults, readJson, sendJson, type HostOptions,
} from '../host/index.js';
import {memberSchema, type Member} from './member.js';

const membershipFaults = commonFaults.extend({
	/** Time until readers see a change, in milliseconds. */
	lagMs: z.number().nonnegative(),
	/** Whether readers see the list as it was when this was switched on. */
	stale: z.boolean(),
	/** Wrong entries shown to readers. Each replaces the true entry of the same name, if there is one. */
	wrong: z.array(memberSchema),
	/** Names of entries hidden from readers. */
	hidden: z.array(z.string()),
});

/** Fault switches of the membership list. */
export type MembershipFaults = z.infer<typeof membershipFaults>;

/** Settings of the membership list. */
export type MembershipOptions = HostOptions & {
	/** Time until readers see a change, in milliseconds. */
	readonly lagMs?: number;
};

/** Time for which replaced versions of the list are kept, in milliseconds. */
const versionRetentionMs = 600_000;
const bodySchema = z.record(z.string(), z.unknown());
const memberPrefix = '/members/';

type Members = ReadonlyMap<string, Member>;

/** Stand-in for the platform's membership list. */
export class MembershipList extends HttpStandIn<MembershipFaults> {
	private readonly versions: LaggedValue<Members>;
	private staleMembers: readonly Member[] | undefined;

	constructor(options: MembershipOptions = {}) {
		const none = {
			...noCommonFaults, lagMs: options.lagMs ?? 0, stale: false, wrong: [], hidden: [],
		};
		super(options, {path: '/faults', schema: membershipFaults.partial(), none});
		this.versions = new LaggedValue<Members>(new Map(), this.clock.now());
	}

	/** The list as readers see it now. */
	get members(): readonly Member[] {
		this.staleMembers = this.faults.stale ? this.staleMembers ?? this.getLaggedMembers() : undefined;
		const shown = new Map((this.staleMembers ?? this.getLaggedMembers()).map(member => [member.name, member]));
		for (const member of this.faults.wrong) {
			shown.set(member.name, member);
		}

		return [...shown.values()].filter(member => !this.faults.hidden.includes(member.name));
	}

	override async setFaults(change: Partial<MembershipFaults>): Promise<void> {
		await super.setFaults(change);
		this.staleMembers = this.faults.stale ? this.staleMembers ?? this.getLaggedMembers() : undefined;
	}

	/** Adds or replaces an entry. */
	put(member: Member): void {
		this.update(members => members.set(member.name, member));
	}

	/** Removes an entry. */
	remove(name: string): void {
		this.update(members => members.delete(name));
	}

	protected override async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const path = req.url!;
		if (req.method === 'GET' && path === '/members') {
			sendJson(res, 200, {members: this.members});
			return;
		}

		const name = path.startsWith(memberPrefix)
			? decodeURIComponent(path.slice(memberPrefix.length))
			: undefined;
		if (req.method === 'PUT' && name !== undefined) {
			this.put(memberSchema.parse({...bodySchema.parse(await readJson(req)), name}));
			sendJson(res, 200, {});
		} else if (req.method === 'DELETE' && name !== undefined) {
			this.remove(name);
			sendJson(res, 200, {});
		} else {
			sendJson(res, 404, {error: 'no such resource'});
		}
	}

	private getLaggedMembers(): readonly Member[] {
		const members = this.versions.read(this.clock.now(), this.faults.lagMs);
		return [...members.values()];
	}

	private update(edit: (members: Map<string, Member>) => unknown): void {
		const members = new Map(this.versions.current);
		edit(members);
		const now = this.clock.now();
		this.versions.set(members, now);
		this.versions.trim(now, versionRetentionMs);
	}
}
