/**
 * The work of the leader: reads the store, assigns keys and stewards, and
 * publishes the view to all instances.
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
import {findUsableOwners} from './usable-owners.js';

/** Interval between two checks in the store that no other instance leads, in milliseconds. */
const confirmIntervalMs = 1000;

/** Age of the store contact up to which keys may be moved, in milliseconds. */
const maxMoveStoreAgeMs = 2500;

/** Time for which changes are collected before they are published, in milliseconds. */
const publishDelayMs = 15;

/** Options of `Leader`. */
export type LeaderOptions = {
	readonly self: NodeInfo;
	readonly term: number;
	/** Record of this term in the store. */
	readonly record: LeaderRecord;
	readonly view: View;
	readonly net: PeerNet;
	readonly ownerLog: OwnerLog;
	readonly reader: FeedReader;
	readonly control: TargetControl;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	readonly timing: LeaseTiming;
	/** State of a former leader on which the view of this instance is based. */
	readonly baseState: BaseState | undefined;
	/** Returns the measurements of this instance since the last call. */
	readonly report: () => Report;
	/** Returns whether this instance is about to stop. */
	readonly isLeaving: () => boolean;
	/** Called when another instance has become leader. */
	readonly onSuperseded: () => void;
};

/** One term of leadership. */
export class Leader {
	/** Replication of the view to the other instances. */
	readonly followers: FollowerSync;
	private readonly managers = new Map<string, OwnershipManager>();
	private readonly loads = new Map<string, KeyLoad>();
	private readonly slowness = new Map<string, number>();
	/** Each target seen in this term, also after its removal. */
	private readonly seenTargets = new Map<string, TargetInfo>();
	private readonly clockStepDetector: ClockStepDetector;
	private readonly formerLeaders: FormerLeaders;
	private hasStartedClearing = false;
	private confirmedAt: number;
	private isConfirming = false;
	private mustConfirm = false;
	private isStopped = false;
	private isPublishScheduled = false;
	/** Inputs of the last assignment of stewards. */
	private stewardInputs = '';
	private readonly publishedRevisions = new Map<string, number>();

	constructor(private readonly options: LeaderOptions, private readonly initialState: OwnerState) {
		const now = options.clock.now();
		this.clockStepDetector = new ClockStepDetector(options.clock);
		this.confirmedAt = now;
		const hadLeader = initialState.leader !== undefined;
		this.formerLeaders = new FormerLeaders(options.record.formers, options.timing, {now, hadLeader});
		this.followers = new FollowerSync({
			...options,
			onPong: (node, pong) => {
				this.handlePong(node, pong);
			},
		});
	}

	/** Adds an instance that announced itself. */
	addNode(node: NodeInfo): void {
		if (this.followers.add(node)) {
			this.schedulePublish();
		}
	}

	/** Number of this term. */
	get term(): number {
		return this.options.term;
	}

	/** Time since the last contact with the store, in milliseconds. */
	get storeAgeMs(): number {
		const {clock, reader} = this.options;
		return clock.now() - Math.max(this.confirmedAt, reader.lastReadAt);
	}

	/** Performs the actions that are due. */
	tick(): void {
		if (this.isStopped) {
			return;
		}

		const {clock, view} = this.options;
		const now = clock.now();
		if (this.clockStepDetector.hasStepped()) {
			this.options.telemetry.info('leader', 'A clock made a step; checking in the store which instance leads.', {});
			this.mustConfirm = true;
		}

		void this.confirm(now);
		void this.clearFormerLeaders(now);
		this.applyReport(this.options.report());
		for (const target of view.targets.values()) {
			this.seenTargets.set(target.id, target);
		}

		const before = view.store.lastSeq;
		this.assignStewards(now);
		if (!this.mustConfirm && now - this.confirmedAt < leaderGraceMs) {
			this.tickManagers(now);
		}

		this.publishKeys();
		if (view.store.lastSeq !== before) {
			view.notifyListeners();
		}

		this.followers.sendDue(now, this.storeAgeMs);
	}

	/** Schedules the publication of changes; those within a few milliseconds are published together. */
	schedulePublish(): void {
		if (this.isPublishScheduled) {
			return;
		}

		this.isPublishScheduled = true;
		setTimeout(() => {
			this.isPublishScheduled = false;
			if (!this.isStopped) {
				// A target must not be published without its steward: instances would send work to it on their own.
				this.assignStewards(this.options.clock.now());
				this.publishKeys();
				this.options.view.notifyListeners();
				this.followers.sendDue(this.options.clock.now(), this.storeAgeMs);
			}
		}, publishDelayMs);
	}

	/** Renews the grant of a key that its owner does not hold. */
	handleNotOwner({service, owner, key}: NotOwnerReport): void {
		this.managers.get(service)?.handleNotOwner(owner, key);
	}

	/** Ends this term. */
	stop(): void {
		this.isStopped = true;
	}

	private async confirm(now: number): Promise<void> {
		if (this.isConfirming || (now - this.confirmedAt < confirmIntervalMs && !this.mustConfirm)) {
			return;
		}

		this.isConfirming = true;
		try {
			if (await this.options.ownerLog.isUnchanged()) {
				this.recordConfirmation(now);
			} else {
				await this.reload();
			}
		} catch (err) {
			this.options.telemetry.warn('leader', 'The store could not be asked which instance leads.', {err, ageMs: Math.round(this.options.clock.now() - this.confirmedAt)});
		} finally {
			this.isConfirming = false;
		}
	}

	private recordConfirmation(at: number): void {
		if (this.mustConfirm) {
			const {clock, telemetry, term} = this.options;
			telemetry.info('leader', 'The store confirmed that this instance leads.', {term, askedMsAgo: Math.round(clock.now() - at)});
		}

		this.confirmedAt = Math.max(this.confirmedAt, at);
		this.mustConfirm = false;
	}

	/** Reads leader and owners again, after a write with an unknown outcome. */
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

		this.recordConfirmation(at);
		for (const [service, manager] of this.managers) {
			manager.reload(state.maps.get(service) ?? OwnershipMap.empty());
		}
	}

	private applyReport(report: Report): void {
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

	/** Assigns dispatch queues to stewards when targets, services or live instances have changed. */
	private assignStewards(now: number): void {
		const {view} = this.options;
		const live = this.followers.liveNodes();
		const inputs = [view.store.lastSeqOfPart('target'), view.store.lastSeqOfPart('service'), ...live.map(node => node.incarnation)].join(' ');
		if (inputs === this.stewardInputs) {
			return;
		}

		this.stewardInputs = inputs;
		const queues = new Map<string, QueueToAssign>();
		for (const target of view.targets.values()) {
			const isSharded = view.allServices.get(target.service)?.isSharded ?? false;
			const queueId = isSharded ? targetQueueId(target.id) : sharedQueueId(target.service, target.domain);
			queues.set(queueId, {queueId, domain: target.domain});
		}

		const plan = planStewards([...queues.values()], live, queueId => view.findSteward(queueId));
		this.updateColdTimes(plan, now);
		view.replacePrefix('steward/', new Map([...plan].map(([queueId, name]) => [`steward/${queueId}`, name])));
	}

	/** Updates the remaining cold time of targets with a new steward, which counts it from now on. */
	private updateColdTimes(plan: ReadonlyMap<string, string>, now: number): void {
		const {view, reader} = this.options;
		for (const target of view.targets.values()) {
			const queueIds = [targetQueueId(target.id), sharedQueueId(target.service, target.domain)];
			const hasNewSteward = queueIds.some(queueId => plan.get(queueId) !== view.findSteward(queueId));
			if (hasNewSteward) {
				view.store.set(`target/${target.id}`, {...target, coldLeftMs: Math.round(reader.remainingColdMs(target.id, now))});
			}
		}
	}

	private tickManagers(now: number): void {
		const {view} = this.options;
		for (const service of view.allServices.values()) {
			if (service.isSharded) {
				const manager = this.managers.get(service.name) ?? this.addManager(service);
				manager.tick({
					owners: this.findOwners(service.name, manager, now),
					rates: () => this.rates(service.name, now),
					mayMove: now - this.confirmedAt < maxMoveStoreAgeMs && this.storeAgeMs < maxMoveStoreAgeMs,
				});
			}
		}
	}

	private rates(service: string, now: number): KeyRates {
		return this.loads.get(service)?.rates(now) ?? [];
	}

	private findOwners(service: string, manager: OwnershipManager, now: number): EligibleOwner[] {
		const {view, reader} = this.options;
		return findUsableOwners(view.usableTargets(service), {
			silentMs: target => manager.silentMs(target),
			slowness: target => this.slowness.get(target) ?? 1,
			coldLeftMs: target => reader.remainingColdMs(target, now),
		});
	}

	private addManager(service: Service): OwnershipManager {
		const {control, clock, timing, telemetry, ownerLog, view} = this.options;
		const inheritedMap = this.initialState.maps.get(service.name);
		const manager = new OwnershipManager({
			service: service.name,
			control,
			clock,
			timing,
			telemetry,
			write: async change => {
				const at = clock.now();
				const map = await ownerLog.write(service.name, change);
				this.recordConfirmation(at);
				return map;
			},
			onChange: () => {
				this.schedulePublish();
			},
			onUncertainWrite: () => {
				this.mustConfirm = true;
				void this.reloadUntilDone();
			},
			findTarget: owner => this.seenTargets.get(owner),
			hasEnded: owner => this.hasEnded(owner, view),
			inheritedLeaseEnd: () => this.formerLeaders.leaseEnd,
		}, inheritedMap ?? OwnershipMap.empty(), inheritedMap !== undefined);
		this.managers.set(service.name, manager);
		if (inheritedMap !== undefined) {
			manager.renewAllFences();
		}

		return manager;
	}

	private async reloadUntilDone(): Promise<void> {
		while (!this.isStopped) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await this.reload();
				return;
			} catch (err) {
				this.options.telemetry.warn('leader', 'The owners could not be read again; trying again.', {err});
				// eslint-disable-next-line no-await-in-loop
				await sleep(confirmIntervalMs / 2);
			}
		}
	}

	/** Returns whether an owner has ended: a later incarnation has its name or its address. */
	private hasEnded(owner: string, view: View): boolean {
		const former = this.seenTargets.get(owner);
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
		for (const [service, manager] of this.managers) {
			if (this.publishedRevisions.get(service) !== manager.revision) {
				this.publishedRevisions.set(service, manager.revision);
				view.replacePrefix(`keys/${service}/`, manager.ranges());
			}
		}
	}

	private handlePong(node: NodeInfo, pong: Pong): void {
		const {clock, term, onSuperseded} = this.options;
		if (this.isStopped) {
			return;
		}

		if (pong.term > term) {
			onSuperseded();
			return;
		}

		this.applyReport(pong.report);
		this.formerLeaders.markFollowing(node.name, clock.now());
	}

	/** Removes expired former leaders from the record, so that later leaders do not wait for them. */
	private async clearFormerLeaders(now: number): Promise<void> {
		const {record, ownerLog, telemetry} = this.options;
		if (this.hasStartedClearing || record.formers.length === 0 || now < this.formerLeaders.leaseEnd) {
			return;
		}

		this.hasStartedClearing = true;
		try {
			await ownerLog.updateLeader({...record, formers: []});
		} catch (err) {
			telemetry.warn('leader', 'The former leaders could not be removed from the record of the leader.', {err});
			this.mustConfirm = true;
			void this.reloadUntilDone();
		}
	}
}
