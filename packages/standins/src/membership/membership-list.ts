import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {
	commonFaults, HttpStandIn, LaggedValue, noCommonFaults, readJson, sendJson, type HostOptions,
} from '../host/index.js';
import {memberSchema, type Member} from './member.js';

const membershipFaults = commonFaults.extend({
	/** Time until readers see a change, in milliseconds. */
	lagMs: z.number().nonnegative(),
	/** Readers see the list as it was when this was switched on. */
	stale: z.boolean(),
	/** Entries shown in place of, or besides, the true ones of the same name. */
	wrong: z.array(memberSchema),
	/** Names that readers don't see. */
	hidden: z.array(z.string()),
});

/** Fault switches of the membership list. */
export type MembershipFaults = z.infer<typeof membershipFaults>;

/** Settings of the membership list. */
export type MembershipOptions = HostOptions & {
	/** Time until readers see a change, in milliseconds. */
	readonly lagMs?: number;
};

/** Versions older than this are forgotten, in milliseconds. */
const keepMs = 600_000;
const bodySchema = z.record(z.string(), z.unknown());
const memberPrefix = '/members/';

type Members = ReadonlyMap<string, Member>;

/** Stand-in for the platform's membership list. */
export class MembershipList extends HttpStandIn<MembershipFaults> {
	private readonly versions: LaggedValue<Members>;
	private frozen: readonly Member[] | undefined;

	constructor(options: MembershipOptions = {}) {
		const none = {
			...noCommonFaults, lagMs: options.lagMs ?? 0, stale: false, wrong: [], hidden: [],
		};
		super(options, {path: '/faults', schema: membershipFaults.partial(), none});
		this.versions = new LaggedValue<Members>(new Map(), this.clock.now());
	}

	/** The list as readers see it now. */
	get members(): readonly Member[] {
		this.frozen = this.faults.stale ? this.frozen ?? this.lagged() : undefined;
		const seen = new Map((this.frozen ?? this.lagged()).map(member => [member.name, member]));
		for (const member of this.faults.wrong) {
			seen.set(member.name, member);
		}

		return [...seen.values()].filter(member => !this.faults.hidden.includes(member.name));
	}

	override async setFaults(change: Partial<MembershipFaults>): Promise<void> {
		await super.setFaults(change);
		this.frozen = this.faults.stale ? this.frozen ?? this.lagged() : undefined;
	}

	/** Adds or replaces an entry. */
	put(member: Member): void {
		this.change(members => members.set(member.name, member));
	}

	/** Removes an entry. */
	remove(name: string): void {
		this.change(members => members.delete(name));
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

	private lagged(): readonly Member[] {
		const members = this.versions.read(this.clock.now(), this.faults.lagMs);
		return [...members.values()];
	}

	private change(edit: (members: Map<string, Member>) => unknown): void {
		const members = new Map(this.versions.current);
		edit(members);
		const now = this.clock.now();
		this.versions.set(members, now);
		this.versions.trim(now, keepMs);
	}
}
