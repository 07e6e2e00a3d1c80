/**
 * Instances that elect leaders and send grants of one key while a leader is
 * lost, over a network that loses, delays and repeats messages. Each leader
 * grants the key to a target of its own once no earlier leader's grant counts.
 */
import {seededRandom, type LeaseTiming} from '@bluebellyard/core';
import {FollowedLeader} from '../cluster/followed-leader.js';
import {LeadConfirmation, type FollowerPong} from '../cluster/lead-confirmation.js';
import {ClockStepDetector} from '../cluster/clock-step-detector.js';
import {compareLeaderships, type LeaderRecord} from '../cluster/leader-record.js';
import {toFormerEnds, type OwnerLog, type Ping} from '../cluster/index.js';
import {Telemetry} from '../telemetry/index.js';
import {
	LeaderLoss, type Entry, type Instance, type LostLeaderOptions, type Term,
} from './lost-leader-types.js';
import {SimulatedNetwork} from './simulated-network.js';
import {EventQueue, SimulatedProcess} from './simulated-process.js';

const timing: LeaseTiming = {leaseMs: 6000, transitMs: 500};

const tickMs = 100;

/** Time without a ping after which an instance stands for election, in milliseconds, as `leaderTimeoutMs`. */
const electionMs = 1400;

/** One run. Times are real milliseconds since its start. */
export class LostLeaderSimulation {
	/** Descriptions of moments at which two targets held the key. */
	readonly conflicts: string[] = [];
	/** Time at which the first leader was lost. */
	lostAt = 0;
	/** Time at which a later leader first sent a grant. */
	grantedAt: number | undefined;
	/** Number of grants by the first leader after its loss. */
	lateGrants = 0;
	private readonly queue = new EventQueue();
	private readonly random: () => number;
	private readonly instances = new Map<string, Instance>();
	private readonly holders = new Map<number, number>();
	private readonly register = new Map<string, Entry>();
	private record: LeaderRecord | undefined;
	private version = 0;
	/** Term of the leader that is lost. */
	private firstTerm = Number.POSITIVE_INFINITY;
	private incarnations = 0;
	private readonly network: SimulatedNetwork;

	constructor(private readonly options: LostLeaderOptions) {
		this.random = seededRandom((options.seed * 7919) + 17);
		this.network = new SimulatedNetwork(this.queue, this.random, options);
		// An instance that was removed long ago stays in the register.
		this.register.set('gone', {name: 'gone', incarnation: '0'});
		for (let i = 0; i < options.instances; i += 1) {
			this.start(i);
		}
	}

	/** Runs for a time; the leader is lost 12 to 16 s after the start. */
	run(durationMs: number): void {
		this.lostAt = 12_000 + (this.random() * 4000);
		this.queue.runUntil(this.lostAt);
		this.loseLeader();
		if (this.options.isRough) {
			this.addFaults();
		}

		this.queue.runUntil(durationMs);
	}

	private start(index: number): void {
		this.incarnations += 1;
		const name = `e${index}`;
		const incarnation = `${name}-${this.incarnations}`;
		const process = new SimulatedProcess(this.queue, this.random, 0.995 + (this.random() * 0.01), this.random() * 100_000);
		const usesContactBound = this.random() >= this.options.offShare;
		const self: Instance = {
			index, name, incarnation, process, followed: new FollowedLeader(process, usesContactBound), known: new Map(), isRegistered: false, usesContactBound,
			electAt: process.now() + (this.random() * 1000), isElecting: false, term: undefined,
		};
		this.instances.set(name, self);
		this.joinRegister(self);
		this.scheduleTick(self);
	}

	private joinRegister(self: Instance): void {
		this.network.askStore(self, () => {
			this.register.set(self.name, {name: self.name, incarnation: self.incarnation});
			return [...this.register.values()];
		}, entries => {
			self.isRegistered = true;
			for (const entry of entries) {
				this.learn(self, entry);
				this.send(self, entry.name, other => {
					this.learn(other, self);
				});
			}
		}, () => {
			this.joinRegister(self);
		});
	}

	private learn(self: Instance, {name, incarnation}: Entry): void {
		if (name !== self.name) {
			self.known.set(name, {name, incarnation});
			self.term?.confirmation.recordInstance(name, incarnation);
		}
	}

	private scheduleTick(self: Instance): void {
		self.process.after(tickMs, () => {
			this.tick(self);
			this.scheduleTick(self);
		});
	}

	private tick(self: Instance): void {
		const now = self.process.now();
		if (self.term !== undefined) {
			this.lead(self, self.term, now);
			return;
		}

		const isHasty = this.options.isRough && this.random() < 0.0002;
		if (!self.isElecting && (isHasty || (now >= self.electAt && now - self.followed.lastPingAt > electionMs))) {
			this.elect(self, now, isHasty);
		}
	}

	/** Stands for election, unless another leader is found; `isHasty` as if the present leader had asked for it. */
	private elect(self: Instance, now: number, isHasty: boolean): void {
		self.isElecting = true;
		self.electAt = now + 800 + (this.random() * 400);
		const end = () => {
			self.isElecting = false;
		};

		const {leadership} = self.followed;
		this.network.askStore(self, () => ({record: this.record, version: this.version}), ({record, version}) => {
			if (record !== undefined && compareLeaderships(record, leadership) > 0 && leadership.term > 0) {
				self.followed.recordElected(record);
				end();
				return;
			}

			if (!isHasty && self.process.now() - self.followed.lastPingAt < electionMs) {
				end();
				return;
			}

			const claim: LeaderRecord = {
				era: 1, term: Math.max(leadership.term, record?.term ?? 0) + 1, name: self.name, incarnation: self.incarnation, isRecovering: false,
				formers: [...new Set([...record?.formers ?? [], ...record === undefined ? [] : [record.name]])].filter(name => name !== self.name),
			};
			const claimedAt = self.process.now();
			this.network.askStore(self, () => this.write(claim, version), isWritten => {
				end();
				if (isWritten && compareLeaderships(self.followed.leadership, claim) < 0) {
					this.startTerm(self, {record: claim, former: record, claimedAt});
				}
			}, end);
		}, end);
	}

	private startTerm(self: Instance, {record, former, claimedAt}: {record: LeaderRecord; former: LeaderRecord | undefined; claimedAt: number}): void {
		const {process, followed} = self;
		const isFollowed = former !== undefined && compareLeaderships(followed.leadership, former) === 0;
		const ownerLog: Pick<OwnerLog, 'newestEra'> = {newestEra: 1};
		const confirmation = new LeadConfirmation({
			record, clock: process, timing, telemetry: new Telemetry(process), ownerLog: ownerLog as OwnerLog,
			hadLeader: former !== undefined, claimedAt, usesContactBound: self.usesContactBound,
			knownEnds: isFollowed ? followed.formerSendEnds : undefined,
			lastContacts: followed.findLastContacts(former),
			listOtherInstances: async () => [],
			onReload() {
				// Not used, since the simulation asks the store itself.
			},
			onReclaimed() {
				// The store does not return from an older copy.
			},
			onSuperseded() {
				// Not used, since the simulation asks the store itself.
			},
		});
		const term: Term = {
			confirmation, record, steps: new ClockStepDetector(process), nextPingAt: new Map(), stamps: new Map(),
			askedAt: Number.NEGATIVE_INFINITY, hasCleared: record.formers.length === 0,
		};
		self.term = term;
		for (const entry of self.known.values()) {
			confirmation.recordInstance(entry.name, entry.incarnation);
		}

		this.network.askStore(self, () => [...this.register.values()], entries => {
			for (const entry of entries) {
				this.learn(self, entry);
			}

			confirmation.recordRegister([...self.known.keys()]);
		});
	}

	private lead(self: Instance, term: Term, now: number): void {
		const {confirmation} = term;
		if (term.steps.hasStepped()) {
			confirmation.recordClockStep();
		}

		if (now - term.askedAt >= 250) {
			term.askedAt = now;
			this.network.askStore(self, () => this.record, record => {
				if (self.term === term && record?.incarnation === self.incarnation) {
					confirmation.recordConfirmation(now);
				} else if (self.term === term) {
					this.stepDown(self);
				}
			});
		}

		if (confirmation.mayGrant(now) && now >= confirmation.formerLeaseEnd) {
			this.grant(term);
		}

		if (!term.hasCleared && now >= confirmation.formerLeaseEnd && now - confirmation.confirmedAt < 1000) {
			const {version} = this;
			term.hasCleared = true;
			this.network.askStore(self, () => this.record?.incarnation === self.incarnation && this.write({...term.record, formers: []}, version));
		}

		for (const {name} of self.known.values()) {
			if (now >= (term.nextPingAt.get(name) ?? 0)) {
				term.nextPingAt.set(name, now + 600);
				this.ping(self, term, name);
			}
		}
	}

	private stepDown(self: Instance): void {
		if (self.term !== undefined && compareLeaderships(self.term.record, self.followed.leadership) > 0) {
			self.followed.leadership = self.term.record;
		}

		self.followed.lastPingAt = self.process.now();
		self.term = undefined;
	}

	/** Sends a ping; it and its answer may be lost, late or repeated. */
	private ping(self: Instance, term: Term, name: string): void {
		const sentAt = self.process.now();
		const statement = term.confirmation.createContactStatement();
		const echo = term.stamps.get(name);
		const ping: Ping = {
			era: 1, term: term.record.term, leader: {
				...self, domain: '', addr: '', cores: 1,
			}, storeAgeMs: 0, targetsAgeMs: 0, base: undefined, seq: 0,
			formerEndsMs: toFormerEnds(term.confirmation.formerSendEnds, sentAt),
			...(statement && {contact: echo === undefined ? statement : {...statement, echo}}),
		};
		this.send(self, name, other => {
			const pong = this.answer(other, ping);
			this.send(other, self.name, leader => {
				if (leader !== self || self.term !== term) {
					return;
				}

				if (compareLeaderships(pong, ping) > 0) {
					this.stepDown(self);
					return;
				}

				term.stamps.set(name, pong.stamp);
				term.confirmation.recordFollower(name, pong, sentAt);
			});
		});
	}

	private answer(self: Instance, ping: Ping): FollowerPong {
		const leadership = self.term?.record ?? self.followed.leadership;
		if (compareLeaderships(ping, leadership) >= 0) {
			self.followed.recordPing(ping);
			this.stepDown(self);
		}

		const {era, term} = self.term?.record ?? self.followed.leadership;
		return {
			era, term, incarnation: self.incarnation, ...self.followed.describeAnswer(self.isRegistered),
		};
	}

	/** Sends a grant of the key to the leader's own target, whose clock may be slow. */
	private grant({record}: Term): void {
		const target = record.term;
		if (this.lostAt > 0 && this.queue.now > this.lostAt) {
			if (target > this.firstTerm) {
				this.grantedAt ??= this.queue.now;
			} else {
				this.lateGrants += 1;
			}
		}

		// Often the worst case: the grant arrives as late as possible, or its target has the slowest clock.
		const share = () => this.random() < 0.5 ? 0.99 : this.random();
		this.queue.after(share() * timing.transitMs, () => {
			const {now} = this.queue;
			this.holders.set(target, Math.max(this.holders.get(target) ?? 0, now + (timing.leaseMs * (1 + (share() * 0.02)))));
			for (const [other, until] of this.holders) {
				if (other !== target && until > now) {
					const at = `seed ${this.options.seed}, ${Math.round(now - this.lostAt)} ms after the loss`;
					this.conflicts.push(`${at}: term ${target} grants, term ${other} counts for ${Math.round(until - now)} ms`);
				}
			}
		});
	}

	private loseLeader(): void {
		const {loss, instances} = this.options;
		const leader = [...this.instances.values()].find(({term}) => term !== undefined && term.record.term === this.record?.term) ?? this.instances.get('e0')!;
		this.firstTerm = this.record?.term ?? 0;
		const {index, process} = leader;
		switch (loss) {
			case LeaderLoss.Removed: {
				process.isEnded = true;
				break;
			}

			case LeaderLoss.Restarted: {
				process.isEnded = true;
				this.queue.after(this.random() * 3000, () => {
					this.start(index);
				});
				break;
			}

			case LeaderLoss.Frozen:
			case LeaderLoss.Suspended: {
				process.freeze(1000 + (this.random() * 14_000), loss === LeaderLoss.Suspended);
				break;
			}

			case LeaderLoss.PartitionedAlone:
			case LeaderLoss.PartitionedFromInstances:
			case LeaderLoss.PartitionedWithDomain:
			case LeaderLoss.PartitionedWithHalf: {
				const count = new Map([[LeaderLoss.PartitionedWithDomain, 2], [LeaderLoss.PartitionedWithHalf, Math.ceil(instances / 2)]]).get(loss) ?? 1;
				for (let i = 0; i < count; i += 1) {
					this.network.side.add((index + i) % instances);
				}

				this.network.isPartitioned = true;
				this.network.isStoreCut = loss !== LeaderLoss.PartitionedFromInstances;
				this.queue.after(3000 + (this.random() * 20_000), () => {
					this.network.isPartitioned = false;
				});
			}
		}
	}

	private addFaults(): void {
		if (this.random() < 0.3) {
			this.queue.after(this.random() * 4000, () => {
				this.network.storeDownUntil = this.queue.now + (this.random() * 10_000);
			});
		}

		const count = Math.floor(this.random() * 4);
		for (let i = 0; i < count; i += 1) {
			this.queue.after(this.random() * 10_000, () => {
				// A new instance, on the leader's side of a partition in half of the runs, or one that restarts.
				const index = this.random() < 0.5 ? this.options.instances + i : Math.floor(this.random() * this.options.instances);
				if (index >= this.options.instances && this.random() < 0.5) {
					this.network.side.add(index);
				}

				const old = this.instances.get(`e${index}`);
				if (old !== undefined) {
					old.process.isEnded = true;
				}

				this.start(index);
			});
			this.queue.after(this.random() * 10_000, () => {
				const all = [...this.instances.values()];
				all[Math.floor(this.random() * all.length)].process.freeze(this.random() * 6000, this.random() < 0.5);
			});
		}
	}

	private send(from: Instance, to: string, handle: (receiver: Instance) => void): void {
		this.network.send(from, Number(to.slice(1)), {find: () => this.instances.get(to), handle});
	}

	private write(record: LeaderRecord, version: number): boolean {
		if (version !== this.version) {
			return false;
		}

		this.version += 1;
		this.record = record;
		return true;
	}
}
