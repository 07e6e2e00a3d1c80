/**
 * What the leader does: reads the store, decides about keys and stewards, and
 * tells all instances.
 */
import {
	KeyLoad, OwnershipMap, type Clock, type LeaseTiming, type KeyRates, type EligibleOwner, type Service, type TargetInfo,
} from '@bluebellyard/core';
import {sleep} from '../net/index.js';
import type {PeerNet} from '../peers/index.js';
import type {TargetControl} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import {
	sharedQueueId, targetQueueId, type NodeInfo, type View,
} from '../view/index.js';
import {ClockStepDetector} from './clock-step-detector.js';
import {FollowerSync, type BaseState} from './follower-sync.js';
import {FormerLeaders, leaderGraceMs} from './former-leaders.js';
import {OwnershipManager} from './ownership-manager.js';
import type {NotOwnerReport, Pong, Report} from './messages.js';
import type {FeedReader} from './feed-reader.js';
import type {LeaderRecord, OwnerLog, OwnerState} from './owner-log.js';
import {planStewards, type QueueToAssign} from './steward-plan.js';
import {usableOwners} from './usable-owners.js';

/** Between two looks at the store whether somebody else leads, in milliseconds. */
const confirmEveryMs = 1000;

/** Store contact older than this means that nothing moves, in milliseconds. */
const movableMs = 2500;

/** Time for which changes are gathered before they are told, in milliseconds. */
const gatherMs = 15;

/** Settings of a leader. */
export type LeaderOptions = {
	readonly self: NodeInfo;
	readonly term: number;
	/** What the store says of this term. */
	readonly record: LeaderRecord;
	readonly view: View;
	readonly net: PeerNet;
	readonly ownerLog: OwnerLog;
	readonly reader: FeedReader;
	readonly control: TargetControl;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	readonly timing: LeaseTiming;
	/** Where the view of this instance comes from. */
	readonly baseState: BaseState | undefined;
	/** Measurements of this instance itself. */
	readonly report: () => Report;
	/** Whether this instance is about to stop. */
	readonly isLeaving: () => boolean;
	/** Called when another instance leads. */
	readonly onSuperseded: () => void;
};

/** One term of leadership. */
export class Leader {
	/** Instances that are told of changes. */
	readonly followers: FollowerSync;
	private readonly keepers = new Map<string, OwnershipManager>();
	private readonly loads = new Map<string, KeyLoad>();
	private readonly slowness = new Map<string, number>();
	/** Address of each target seen in this term, also after it went. */
	private readonly addrs = new Map<string, TargetInfo>();
	private readonly clockWatch: ClockStepDetector;
	private readonly formerLeaders: FormerLeaders;
	private isClearing = false;
	private confirmedAt: number;
	private isConfirming = false;
	private mustConfirm = false;
	private isStopped = false;
	private isFlushDue = false;
	/** What the last plan of stewards rested on. */
	private stewardBasis = '';
	private readonly published = new Map<string, number>();

	constructor(private readonly options: LeaderOptions, private readonly former: OwnerState) {
		const now = options.clock.now();
		this.clockWatch = new ClockStepDetector(options.clock);
		this.confirmedAt = now;
		const hadLeader = former.leader !== undefined;
		this.formerLeaders = new FormerLeaders(options.record.formers, options.timing, {now, hadLeader});
		this.followers = new FollowerSync({
			...options,
			onPong: (node, pong) => {
				this.takePong(node, pong);
			},
		});
	}

	/** Adds an instance that showed itself. */
	addNode(node: NodeInfo): void {
		if (this.followers.add(node)) {
			this.schedulePublish();
		}
	}

	/** The term that this is. */
	get term(): number {
		return this.options.term;
	}

	/** Time since the store was last reached, in milliseconds. */
	get storeAgeMs(): number {
		const {clock, reader} = this.options;
		return clock.now() - Math.max(this.confirmedAt, reader.lastReadAt);
	}

	/** Does what is due. */
	tick(): void {
		if (this.isStopped) {
			return;
		}

		const {clock, view} = this.options;
		const now = clock.now();
		if (this.clockWatch.hasStepped()) {
			this.options.telemetry.info('leader', 'A clock jumped; asking the store who leads.', {});
			this.mustConfirm = true;
		}

		void this.confirm(now);
		void this.clearFormerLeaders(now);
		this.takeReport(this.options.report());
		for (const target of view.targets.values()) {
			this.addrs.set(target.id, target);
		}

		const before = view.store.lastSeq;
		this.assignStewards(now);
		if (!this.mustConfirm && now - this.confirmedAt < leaderGraceMs) {
			this.tickKeepers(now);
		}

		this.publishKeys();
		if (view.store.lastSeq !== before) {
			view.notifyListeners();
		}

		this.followers.sendDue(now, this.storeAgeMs);
	}

	/** Tells what changed; what changes within a few milliseconds is told at once. */
	schedulePublish(): void {
		if (this.isFlushDue) {
			return;
		}

		this.isFlushDue = true;
		setTimeout(() => {
			this.isFlushDue = false;
			if (!this.isStopped) {
				// A target must not be told without its steward: instances would send to it on their own.
				this.assignStewards(this.options.clock.now());
				this.publishKeys();
				this.options.view.notifyListeners();
				this.followers.sendDue(this.options.clock.now(), this.storeAgeMs);
			}
		}, gatherMs);
	}

	/** Takes note that an owner does not hold a key. */
	handleNotOwner({service, owner, key}: NotOwnerReport): void {
		this.keepers.get(service)?.handleNotOwner(owner, key);
	}

	/** Ends the term. */
	stop(): void {
		this.isStopped = true;
	}

	private async confirm(now: number): Promise<void> {
		if (this.isConfirming || (now - this.confirmedAt < confirmEveryMs && !this.mustConfirm)) {
			return;
		}

		this.isConfirming = true;
		try {
			if (await this.options.ownerLog.isUnchanged()) {
				this.confirmed(now);
			} else {
				await this.reload();
			}
		} catch (err) {
			this.options.telemetry.warn('leader', 'The store could not be asked who leads.', {err, ageMs: Math.round(this.options.clock.now() - this.confirmedAt)});
		} finally {
			this.isConfirming = false;
		}
	}

	private confirmed(at: number): void {
		this.confirmedAt = Math.max(this.confirmedAt, at);
		this.mustConfirm = false;
	}

	/** Reads leader and owners again, after a write in doubt. */
	private async reload(): Promise<void> {
		const {ownerLog, clock, term, onSuperseded} = this.options;
		const at = clock.now();
		const state = await ownerLog.read();
		if (this.isStopped) {
			return;
		}

		if (state.leader?.term !== term) {
			onSuperseded();
			return;
		}

		this.confirmed(at);
		for (const [service, keeper] of this.keepers) {
			keeper.reload(state.maps.get(service) ?? OwnershipMap.empty());
		}
	}

	private takeReport(report: Report): void {
		const now = this.options.clock.now();
		for (const [service, pairs] of Object.entries(report.keys)) {
			const load = this.loads.get(service) ?? new KeyLoad();
			this.loads.set(service, load);
			for (let i = 0; i + 1 < pairs.length; i += 2) {
				load.add(pairs[i], pairs[i + 1], now);
			}
		}

		for (const [target, factor] of report.slowness) {
			this.slowness.set(target, factor);
		}
	}

	/** Plans who is in charge of what, when targets, services or the instances that live changed. */
	private assignStewards(now: number): void {
		const {view} = this.options;
		const live = this.followers.liveNodes();
		const basis = [view.store.lastSeqOfPart('target'), view.store.lastSeqOfPart('service'), ...live.map(node => node.incarnation)].join(' ');
		if (basis === this.stewardBasis) {
			return;
		}

		this.stewardBasis = basis;
		const needs = new Map<string, QueueToAssign>();
		for (const target of view.targets.values()) {
			const isSharded = view.allServices.get(target.service)?.isSharded ?? false;
			const desk = isSharded ? targetQueueId(target.id) : sharedQueueId(target.service, target.domain);
			needs.set(desk, {desk, domain: target.domain});
		}

		const plan = planStewards([...needs.values()], live, desk => view.findSteward(desk));
		this.tellCold(plan, now);
		view.replacePrefix('steward/', new Map([...plan].map(([desk, name]) => [`steward/${desk}`, name])));
	}

	/** A new steward must learn how long its targets are cold from now on. */
	private tellCold(plan: ReadonlyMap<string, string>, now: number): void {
		const {view, reader} = this.options;
		for (const target of view.targets.values()) {
			const desks = [targetQueueId(target.id), sharedQueueId(target.service, target.domain)];
			const isNew = desks.some(desk => plan.get(desk) !== view.findSteward(desk));
			if (isNew) {
				view.store.set(`target/${target.id}`, {...target, coldLeftMs: Math.round(reader.remainingColdMs(target.id, now))});
			}
		}
	}

	private tickKeepers(now: number): void {
		const {view} = this.options;
		for (const service of view.allServices.values()) {
			if (service.isSharded) {
				const keeper = this.keepers.get(service.name) ?? this.addKeeper(service);
				keeper.tick({
					owners: this.owners(service.name, keeper, now),
					rates: () => this.rates(service.name, now),
					mayMove: now - this.confirmedAt < movableMs && this.storeAgeMs < movableMs,
				});
			}
		}
	}

	private rates(service: string, now: number): KeyRates {
		return this.loads.get(service)?.rates(now) ?? [];
	}

	private owners(service: string, keeper: OwnershipManager, now: number): EligibleOwner[] {
		const {view, reader} = this.options;
		return usableOwners(view.usableTargets(service), {
			silentMs: target => keeper.silentMs(target),
			slowness: target => this.slowness.get(target) ?? 1,
			coldLeftMs: target => reader.remainingColdMs(target, now),
		});
	}

	private addKeeper(service: Service): OwnershipManager {
		const {control, clock, timing, telemetry, ownerLog, view} = this.options;
		const known = this.former.maps.get(service.name);
		const keeper = new OwnershipManager({
			service: service.name,
			control,
			clock,
			timing,
			telemetry,
			write: async change => {
				const at = clock.now();
				const map = await ownerLog.write(service.name, change);
				this.confirmed(at);
				return map;
			},
			onChange: () => {
				this.schedulePublish();
			},
			onUncertainWrite: () => {
				this.mustConfirm = true;
				void this.resolveDoubt();
			},
			findTarget: owner => this.addrs.get(owner),
			hasEnded: owner => this.hasEnded(owner, view),
			inheritedLeaseEnd: () => this.formerLeaders.leaseEnd,
		}, known ?? OwnershipMap.empty(), known !== undefined);
		this.keepers.set(service.name, keeper);
		if (known !== undefined) {
			keeper.refenceAll();
		}

		return keeper;
	}

	private async resolveDoubt(): Promise<void> {
		while (!this.isStopped) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await this.reload();
				return;
			} catch (err) {
				this.options.telemetry.warn('leader', 'The owners could not be read again.', {err});
				// eslint-disable-next-line no-await-in-loop
				await sleep(confirmEveryMs / 2);
			}
		}
	}

	/** A process life has ended when a later one has its name or its address. */
	private hasEnded(owner: string, view: View): boolean {
		const former = this.addrs.get(owner);
		if (former === undefined || former.bornAt === 0) {
			return false;
		}

		for (const target of view.targets.values()) {
			const isSuccessor = target.name === former.name || target.addr === former.addr;
			if (isSuccessor && target.bornAt > former.bornAt) {
				return true;
			}
		}

		return false;
	}

	private publishKeys(): void {
		const {view} = this.options;
		for (const [service, keeper] of this.keepers) {
			if (this.published.get(service) !== keeper.revision) {
				this.published.set(service, keeper.revision);
				view.replacePrefix(`keys/${service}/`, keeper.ranges());
			}
		}
	}

	private takePong(node: NodeInfo, pong: Pong): void {
		const {clock, term, onSuperseded} = this.options;
		if (this.isStopped) {
			return;
		}

		if (pong.term > term) {
			onSuperseded();
			return;
		}

		this.takeReport(pong.report);
		this.formerLeaders.markFollowing(node.name, clock.now());
	}

	/** Tells later leaders that they need not wait for those before this one. */
	private async clearFormerLeaders(now: number): Promise<void> {
		const {record, ownerLog, telemetry} = this.options;
		if (this.isClearing || record.formers.length === 0 || now < this.formerLeaders.leaseEnd) {
			return;
		}

		this.isClearing = true;
		try {
			await ownerLog.updateLeader({...record, formers: []});
		} catch (err) {
			telemetry.warn('leader', 'The store could not be told that former leaders are out.', {err});
			this.mustConfirm = true;
			void this.resolveDoubt();
		}
	}
}
