/**
 * The work of the leader: reads the store, assigns keys and stewards, and
 * publishes the view to all instances.
 */
import {
	OwnershipMap, type EligibleOwner, type Service, type TargetInfo,
} from '@bluebellyard/core';
import {StaleAppendError} from '../ports/index.js';
import {isKnownService, type NodeInfo} from '../view/index.js';
import {ClockStepDetector} from './clock-step-detector.js';
import {CutOffInstances} from './cut-off-instances.js';
import {FollowerSync} from './follower-sync.js';
import type {SendEnds} from './former-leaders.js';
import {LeadConfirmation} from './lead-confirmation.js';
import type {LeaderOptions} from './leader-options.js';
import {compareLeaderships, type Leadership} from './leader-record.js';
import {Measurements} from './measurements.js';
import type {NotOwnerReport, Pong, Report} from './messages.js';
import type {OwnerState} from './owner-log.js';
import {findOwnerProcess} from './owner-process.js';
import {OwnershipManager} from './ownership-manager.js';
import {publishConditions} from './publish-conditions.js';
import {StewardAssignment} from './steward-assignment.js';
import {SuspectRegistry} from './suspect-registry.js';
import {TeamCeilings} from './team-ceilings.js';
import {findUsableOwners} from './usable-owners.js';

/** Age of the store contact up to which keys may be moved, in milliseconds. */
const maxMoveStoreAgeMs = 2500;

/** Time for which changes are collected before they are published, in milliseconds. */
const publishDelayMs = 15;

/** One term of leadership. */
export class Leader {
	/** Replication of the view to the other instances. */
	readonly followers: FollowerSync;
	/** Requests under which targets ended. */
	readonly suspects: SuspectRegistry;
	/** Instances that are cut off from the targets. */
	readonly cutOff: CutOffInstances;
	/** Division of the rate limits of teams. */
	readonly teamCeilings: TeamCeilings;
	private readonly managers = new Map<string, OwnershipManager>();
	private readonly measurements: Measurements;
	/** Each target seen in this term, also after its removal, in the order of the first sight. */
	private readonly seenTargets = new Map<string, TargetInfo>();
	private readonly clockStepDetector: ClockStepDetector;
	private readonly confirmation: LeadConfirmation;
	private isClearingFormers = false;
	private hasClearedFormers: boolean;
	private isStopped = false;
	private isPublishScheduled = false;
	private readonly stewards: StewardAssignment;
	private readonly publishedRevisions = new Map<string, number>();

	constructor(private readonly options: LeaderOptions, private readonly initialState: OwnerState) {
		this.clockStepDetector = new ClockStepDetector(options.clock);
		this.measurements = new Measurements(options.view.namedLimits, options.view.leavingTargets(), options.clock.now());
		this.hasClearedFormers = options.record.formers.length === 0 && !options.record.isRecovering;
		this.confirmation = new LeadConfirmation({
			...options,
			hadLeader: initialState.leader !== undefined || options.record.isRecovering,
			listOtherInstances: async () => this.listOtherInstances(),
			onReload: state => {
				this.reloadOwners(state);
			},
			onReclaimed: mayRenew => {
				this.suspendManagers(mayRenew);
			},
		});
		this.confirmation.recordView(options.view.nodes().filter(({name}) => name !== options.self.name));
		this.followers = new FollowerSync({
			...options,
			leadership: () => this.leadership,
			targetsReadAt: () => options.reader.lastReadAt,
			recordsKnownAt: () => options.reader.knownAt,
			formerSendEnds: () => this.formerSendEnds,
			contactStatement: () => this.confirmation.createContactStatement(),
			onPong: (node, pong, sentAt) => {
				this.handlePong(node, pong, sentAt);
			},
		});
		const onChange = this.schedulePublish.bind(this);
		this.suspects = new SuspectRegistry({...options, onChange});
		this.cutOff = new CutOffInstances({...options, onChange});
		this.teamCeilings = new TeamCeilings(options);
		this.stewards = new StewardAssignment({...options, liveNodes: () => this.followers.liveNodes(), delayMs: name => this.measurements.delayMs(name)});
	}

	/** Adds an instance that announced itself. */
	addNode(node: NodeInfo): void {
		if (this.followers.add(node)) {
			this.confirmation.recordInstance(node.name, node.incarnation);
			this.schedulePublish();
		}
	}

	/** Adds the instances in the register, as read after the election. */
	addRegistered(nodes: readonly NodeInfo[]): void {
		for (const node of nodes) {
			this.addNode(node);
		}

		const {view, self} = this.options;
		this.confirmation.recordRegister([...new Set([...nodes, ...view.nodes()].map(({name}) => name))].filter(name => name !== self.name));
	}

	/** Latest times at which former leaders may send a grant. */
	get formerSendEnds(): SendEnds {
		return this.confirmation.formerSendEnds;
	}

	/** Leadership of this instance in the present era of the store. */
	get leadership(): Leadership {
		return this.confirmation.leadership;
	}

	/** Time since the last contact with the store, in milliseconds. */
	get storeAgeMs(): number {
		const {clock, reader} = this.options;
		const {confirmedAt, isInPresentEra} = this.confirmation;
		// A leader that reads but can't claim the lead in the present era must be replaced.
		return clock.now() - (isInPresentEra ? Math.max(confirmedAt, reader.lastReadAt) : confirmedAt);
	}

	/** Whether this leader keeps owners as they are because a return of the store has lost records; only it knows its grants. */
	get isRecovering(): boolean {
		return this.confirmation.isWaitingForLostGrants(this.options.clock.now());
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
			this.confirmation.recordClockStep();
		}

		void this.confirmation.confirm();
		this.endRecovery(now);
		this.applyReport(this.options.self, this.options.report(), now);
		this.publishConditions();
		this.cutOff.prune(this.followers.liveNodes());
		this.suspects.tick(now);
		for (const target of view.targets.values()) {
			// A record with a service that no configuration names may be another writer's, and tells nothing of any process.
			if (isKnownService(view, target.service)) {
				this.seenTargets.set(target.id, target);
			}
		}

		const before = view.store.lastSeq;
		this.stewards.update(now);
		this.teamCeilings.update();
		if (this.confirmation.mayGrant(now)) {
			this.tickManagers(now);
		}

		void this.clearFormerLeaders(now);
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
				this.stewards.update(this.options.clock.now());
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

	/** Gives no more work to a target that announced that it leaves. */
	handleLeaving(target: string): void {
		this.measurements.addLeaving(target);
		if (this.publishConditions()) {
			this.options.telemetry.info('leader', 'A target leaves by its own announcement; its keys move.', {target});
			this.schedulePublish();
		}
	}

	/** Ends this term. */
	stop(): void {
		this.isStopped = true;
		this.suspects.stop();
		this.followers.stop();
		this.confirmation.stop();
	}

	/** Replaces the owners by those in the store, after a write with an unknown outcome. */
	private reloadOwners(state: OwnerState): void {
		for (const [service, manager] of this.managers) {
			const recorded = state.owners.get(service);
			const isOwnRecord = recorded !== undefined && compareLeaderships(recorded, this.leadership) === 0;
			manager.reload(isOwnRecord ? recorded.map : undefined);
		}
	}

	private async listOtherInstances(): Promise<string[]> {
		const {view, directory, self} = this.options;
		const nodes = [...view.nodes(), ...await directory.list()];
		return [...new Set(nodes.map(({name}) => name))].filter(name => name !== self.name);
	}

	/** Keeps owners as they are while others may hold keys by records that the store has lost. */
	private suspendManagers(mayRenew: boolean): void {
		this.hasClearedFormers = false;
		for (const manager of this.managers.values()) {
			manager.suspend(mayRenew);
		}
	}

	/** Writes the owners again, with tokens of the present era, once no other grants can count any more. */
	private endRecovery(now: number): void {
		if (this.confirmation.isWaitingForLostGrants(now)) {
			return;
		}

		for (const [service, manager] of this.managers) {
			if (manager.isSuspended) {
				this.options.telemetry.info('leader', 'Grants that the store has lost have expired; moving keys again.', {service, ...this.leadership});
				manager.resume();
			}
		}
	}

	private publishConditions(): boolean {
		return publishConditions(this.options.view, this.measurements, this.options.clock.now());
	}

	private tickManagers(now: number): void {
		const {view, self} = this.options;
		const {isRecovering} = this;
		// A leader that reaches no target can't complete a move, and its successor would wait for its grants.
		const reachesTargets = !view.isCutOff(self.name);
		const hasStoreContact = now - this.confirmation.confirmedAt < maxMoveStoreAgeMs && this.storeAgeMs < maxMoveStoreAgeMs;
		for (const service of view.allServices.values()) {
			const isWaiting = isRecovering && !this.managers.has(service.name);
			if (service.isSharded && !isWaiting) {
				const manager = this.managers.get(service.name) ?? this.addManager(service);
				manager.tick({
					owners: this.findOwners(service.name, manager, now),
					rates: () => this.measurements.rates(service.name, now),
					recentLoad: this.options.detectsSurges?.() === true ? () => this.measurements.recentLoad(service.name, now) : undefined,
					mayMove: hasStoreContact && reachesTargets && !isRecovering && this.confirmation.isInPresentEra,
				});
			}
		}
	}

	private findOwners(service: string, manager: OwnershipManager, now: number): EligibleOwner[] {
		const {view, reader} = this.options;
		return findUsableOwners(view.usableTargets(service), {
			silentMs: target => manager.silentMs(target),
			slowness: target => this.measurements.slowness(target),
			coldLeftMs: target => reader.remainingColdMs(target, now),
			limitedSlots: target => this.measurements.toSlots(service, view.namedLimits.get(target)),
		});
	}

	private addManager(service: Service): OwnershipManager {
		const {control, clock, timing, telemetry, ownerLog} = this.options;
		const recordedMap = this.initialState.owners.get(service.name)?.map;
		const inheritedMap = this.options.record.isRecovering ? recordedMap?.forgetSettled() : recordedMap;
		const manager = new OwnershipManager({
			service: service.name,
			control,
			clock,
			timing,
			telemetry,
			write: async change => {
				if (this.isStopped) {
					throw new StaleAppendError(`term ${this.leadership.term} of this leader has ended`);
				}

				const at = clock.now();
				const map = await ownerLog.write(service.name, this.leadership, change);
				this.confirmation.recordConfirmation(at);
				return map;
			},
			onChange: () => {
				this.schedulePublish();
			},
			onFailedWrite: err => {
				this.confirmation.handleFailedWrite(err);
			},
			findTarget: owner => this.seenTargets.get(owner),
			findProcess: owner => findOwnerProcess(owner, this.seenTargets, this.options.view.targets),
			inheritedLeaseEnd: () => this.confirmation.formerLeaseEnd,
			inheritedArrivalEnd: () => this.confirmation.formerArrivalEnd,
		}, inheritedMap ?? OwnershipMap.empty(), inheritedMap !== undefined);
		this.managers.set(service.name, manager);
		if (inheritedMap !== undefined) {
			manager.renewAllFences();
		}

		return manager;
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

	private handlePong(node: NodeInfo, pong: Pong, sentAt: number): void {
		if (this.isStopped) {
			return;
		}

		if (compareLeaderships(pong, this.leadership) > 0) {
			this.options.onSuperseded();
			return;
		}

		this.applyReport({name: node.name, incarnation: pong.incarnation}, pong.report, this.options.clock.now());
		if (this.publishConditions()) {
			this.schedulePublish();
		}

		this.confirmation.recordFollower(node.name, pong, sentAt);
	}

	private applyReport({name, incarnation}: Pick<NodeInfo, 'name' | 'incarnation'>, report: Report, now: number): void {
		this.measurements.apply(name, report, now);
		this.teamCeilings.record(name, incarnation, report.teamUse);
		this.suspects.recordCrashes(report.crashes ?? []);
		this.cutOff.record(name, report.isCutOff === true && !report.isLeaving);
	}

	/** Removes expired former leaders from the record, so that later leaders do not wait for them. */
	private async clearFormerLeaders(now: number): Promise<void> {
		const isDue = now >= this.confirmation.formerLeaseEnd && [...this.managers.values()].every(manager => manager.hasOwnFences);
		if (this.hasClearedFormers || this.isClearingFormers || !isDue || this.confirmation.isInDoubt) {
			return;
		}

		this.isClearingFormers = true;
		this.hasClearedFormers = await this.renewUnmanagedOwners() && await this.confirmation.clearFormerLeaders();
		this.isClearingFormers = false;
	}

	/** Writes the owners of services that are not configured in the present era, in which no grant of them counts any more. */
	private async renewUnmanagedOwners(): Promise<boolean> {
		const {ownerLog, telemetry} = this.options;
		try {
			await ownerLog.renewEarlierOwners(this.initialState, this.leadership, this.managers);
			return true;
		} catch (err) {
			telemetry.warn('leader', 'The owners of a service that is not configured could not be written.', {err});
			this.confirmation.handleFailedWrite(err);
			return false;
		}
	}
}
