/**
 * Plays the requests of one team at many instances without a network: each has its own clock, a meter and a share of the
 * demand; one of them leads, collects reports and publishes ceilings with its pings.
 */
import {seededRandom} from '../random/index.js';
import {
	AllowanceController, type Team, type TeamCeiling, type TeamPermit, type TeamUseReport,
} from '../teams/index.js';
import {FleetDemand} from './fleet-demand.js';
import {FleetInstance, type FleetFollower, type FleetLeading} from './fleet-instance.js';
import {
	FleetFault, stepMs, type TeamFleetCfg, type TeamFleetResult,
} from './team-fleet-cfg.js';

const domains = 3;
const pingIntervalMs = 600;
const minPingIntervalPerNodeMs = 2.5;
const pingTimeoutMs = 900;
const lostPingIntervalMs = 1000;
const leaderTickMs = 100;
/** Time for which the first leader has led. */
const leadingMs = 10_000;
/** Bounds of the time from the loss of the leader to the first ping of the next one. */
const minElectionMs = 1500;
const maxElectionMs = 3500;
const partitionMs = 4000;
const restartMs = 1000;
const restartEveryMs = 400;
/** Share of the instances that join, and the time between two of them. */
const joiningShare = 0.35;
const joinEveryMs = 50;
/** Share of messages that a bad link loses, delays or repeats, and the longest delay. */
const badShare = 0.07;
const maxDelayMs = 600;
/** Share of permits that are given back, after this time. */
const giveBackShare = 0.03;
const giveBackMs = 40;

/** Plays one team. */
export class TeamFleet {
	private readonly random: () => number;
	private readonly instances: FleetInstance[] = [];
	private readonly due = new Map<number, Array<() => void>>();
	private readonly offered: number[] = [];
	private readonly run: number[] = [];
	private readonly demand: FleetDemand;
	private step = 0;
	private messages = 0;
	private refused = 0;
	private loweredAt = Number.POSITIVE_INFINITY;
	private cutDomain: number | undefined;

	constructor(private readonly cfg: TeamFleetCfg) {
		this.random = seededRandom((cfg.seed * 7919) + 13);
		this.demand = new FleetDemand(this.instances, this.random);
		const joining = cfg.fault === FleetFault.Joins ? Math.floor(cfg.instances * joiningShare) : 0;
		for (let i = joining; i < cfg.instances; i += 1) {
			this.addInstance();
		}

		this.lead(this.instances[0], {term: 1, ceilings: [], since: -leadingMs});
		this.demand.spread();
	}

	/** Plays the whole duration. */
	play(): TeamFleetResult {
		const {durationMs, team, demandAt, shiftAt} = this.cfg;
		this.scheduleFault();
		if (shiftAt !== undefined) {
			this.at(shiftAt, () => {
				this.demand.shift();
			});
		}

		for (this.step = 0; this.now < durationMs; this.step += 1) {
			for (const action of this.due.get(this.step) ?? []) {
				action();
			}

			this.due.delete(this.step);
			this.run[this.step] ??= 0;
			const limit = this.instances[0].isLowered ? team.ratePerSecond! / 2 : team.ratePerSecond!;
			const count = this.demand.draw(demandAt(this.now) * limit * stepMs / 1000);
			this.offered.push(count);
			for (let i = 0; i < count; i += 1) {
				this.arrive(this.demand.pick());
			}

			for (const instance of this.instances) {
				if (instance.leading !== undefined && instance.isUp) {
					this.tickLeader(instance, instance.leading);
				}
			}
		}

		return {
			offered: this.offered, run: this.run, loweredAt: this.loweredAt, refused: this.refused, messages: this.messages,
		};
	}

	private get now(): number {
		return this.step * stepMs;
	}

	private teamAt(instance: FleetInstance): Team {
		const {team} = this.cfg;
		return instance.isLowered ? {...team, ratePerSecond: team.ratePerSecond! / 2, burst: team.burst / 2} : team;
	}

	private arrive(instance: FleetInstance): void {
		const localNow = this.now + instance.offset;
		instance.meter.setContact({instances: this.instances.length, heardAt: instance.leading === undefined ? instance.heardAt : localNow, leader: String(instance.term)});
		const {permit} = instance.meter.admit(this.teamAt(instance), localNow);
		if (permit === undefined) {
			this.refused += 1;
		} else if (this.random() < giveBackShare) {
			this.giveBack(instance, permit);
		} else {
			this.run[this.step] += 1;
		}

		if (instance.meter.isReportDue(localNow)) {
			this.sendReport(instance);
		}
	}

	private giveBack(instance: FleetInstance, permit: TeamPermit): void {
		const {meter} = instance;
		this.at(this.now + giveBackMs, () => {
			meter.giveBack(permit);
		});
	}

	private sendReport(instance: FleetInstance): void {
		const localNow = this.now + instance.offset;
		const report = instance.meter.report(localNow);
		const {incarnation} = instance;
		const leader = this.instances.find(other => other.leading?.term === instance.term);
		if (leader === instance) {
			leader.leading!.controller.record(instance.name, String(incarnation), report, localNow);
			return;
		}

		instance.meter.recordSentReport(localNow);
		this.send(instance, leader, () => {
			const answer = this.receiveReport(leader!, instance.name, incarnation, report);
			if (answer !== undefined) {
				this.send(leader!, instance, () => {
					this.hear(instance, answer.term, answer.ceilings);
				});
			}
		});
	}

	private receiveReport(leader: FleetInstance, name: string, incarnation: number, report: TeamUseReport): FleetLeading | undefined {
		leader.leading?.controller.record(name, String(incarnation), report, this.now + leader.offset);
		return leader.leading === undefined ? undefined : {...leader.leading};
	}

	private hear(instance: FleetInstance, term: number, ceilings: readonly TeamCeiling[]): boolean {
		if (term < instance.term) {
			return false;
		}

		instance.term = term;
		if (instance.leading !== undefined && instance.leading.term < term) {
			instance.leading = undefined;
		}

		instance.heardAt = this.now + instance.offset;
		instance.ceilings = ceilings;
		instance.meter.setCeilings(ceilings);
		instance.meter.setContact({instances: this.instances.length, heardAt: instance.heardAt, leader: String(term)});
		return true;
	}

	private tickLeader(leader: FleetInstance, leading: FleetLeading): void {
		const localNow = this.now + leader.offset;
		if (this.now % leaderTickMs === 0) {
			leader.meter.setContact({instances: this.instances.length, heardAt: localNow, leader: String(leading.term)});
			leading.controller.record(leader.name, String(leader.incarnation), leader.meter.report(localNow), localNow);
			const before = JSON.stringify(leading.ceilings);
			leading.ceilings = leading.controller.tick([this.teamAt(leader)], this.instances.map(({name}) => name), localNow);
			leader.ceilings = leading.ceilings;
			leader.meter.setCeilings(leading.ceilings);
			leading.version += JSON.stringify(leading.ceilings) === before ? 0 : 1;
		}

		const minIntervalMs = this.instances.length * minPingIntervalPerNodeMs;
		for (const instance of this.instances) {
			const follower = leading.followers.get(instance.name) ?? {
				sentAt: Number.NEGATIVE_INFINITY, nextAt: this.now + (this.random() * pingIntervalMs), inFlightUntil: 0, version: -1,
			};
			leading.followers.set(instance.name, follower);
			const isThrottled = this.now - follower.sentAt < minIntervalMs;
			// As in `FollowerSync`: the pace limits pings with changes only.
			const isDue = this.now >= follower.nextAt || (!isThrottled && follower.version !== leading.version);
			if (instance !== leader && isDue && this.now >= follower.inFlightUntil) {
				this.ping(leader, instance, leading, follower);
			}
		}
	}

	private ping(leader: FleetInstance, instance: FleetInstance, leading: FleetLeading, follower: FleetFollower): void {
		const {ceilings, version, term} = leading;
		const {isLowered} = leader;
		follower.sentAt = this.now;
		follower.inFlightUntil = this.now + pingTimeoutMs + lostPingIntervalMs;
		this.send(leader, instance, () => {
			if (!this.hear(instance, term, ceilings)) {
				return;
			}

			if (isLowered && !instance.isLowered) {
				instance.isLowered = true;
				this.loweredAt = this.instances.every(other => other.isLowered) ? this.now : this.loweredAt;
			}

			const report = instance.meter.report(this.now + instance.offset);
			const {incarnation} = instance;
			this.send(instance, leader, () => {
				this.receiveReport(leader, instance.name, incarnation, report);
				follower.inFlightUntil = 0;
				follower.version = version;
				follower.nextAt = this.now + pingIntervalMs;
			});
		});
	}

	/** Delivers a message about one step later, unless an end is down, cut off, or the link is bad. */
	private send(from: FleetInstance, to: FleetInstance | undefined, deliver: () => void): void {
		this.messages += 1;
		const isCut = (instance: FleetInstance) => instance.domain === this.cutDomain;
		if (to === undefined || isCut(from) !== isCut(to)) {
			return;
		}

		const {incarnation} = to;
		const isBad = this.cfg.fault === FleetFault.BadLinks && this.now >= this.cfg.faultAt;
		if (isBad && this.random() < badShare) {
			return;
		}

		const copies = isBad && this.random() < badShare ? 2 : 1;
		for (let i = 0; i < copies; i += 1) {
			const delayMs = isBad && this.random() < badShare ? this.random() * maxDelayMs : 1;
			this.at(this.now + delayMs, () => {
				if (to.isUp && to.incarnation === incarnation && isCut(from) === isCut(to)) {
					deliver();
				}
			});
		}
	}

	private at(time: number, action: () => void): void {
		const step = Math.max(this.step + (time > 0 ? 1 : 0), Math.ceil(time / stepMs));
		const actions = this.due.get(step) ?? [];
		actions.push(action);
		this.due.set(step, actions);
	}

	private lead(instance: FleetInstance, {term, ceilings, since}: {term: number; ceilings: readonly TeamCeiling[]; since: number}): void {
		instance.term = term;
		instance.leading = {
			term, controller: new AllowanceController(ceilings, since + instance.offset), ceilings, version: 1, followers: new Map(),
		};
	}

	private scheduleFault(): void {
		const {fault, faultAt, durationMs} = this.cfg;
		const electionMs = minElectionMs + (this.random() * (maxElectionMs - minElectionMs));
		switch (fault) {
			case FleetFault.LostLeader: {
				this.at(faultAt, () => {
					this.instances[0].isUp = false;
					this.demand.spread();
				});
				this.at(faultAt + electionMs, () => {
					this.elect();
				});
				break;
			}

			case FleetFault.Partition: {
				this.at(faultAt, () => {
					this.cutDomain = Math.floor(this.random() * domains);
				});
				this.at(faultAt + electionMs, () => {
					if (this.cutDomain === this.instances[0].domain) {
						this.elect();
					}
				});
				this.at(faultAt + partitionMs, () => {
					this.cutDomain = undefined;
				});
				break;
			}

			case FleetFault.Restarts: {
				for (let i = 1; faultAt + (i * restartEveryMs) < durationMs && i < this.instances.length; i += 1) {
					this.scheduleRestart(this.instances[i], faultAt + (i * restartEveryMs));
				}

				break;
			}

			case FleetFault.Joins: {
				for (let i = this.instances.length; i < this.cfg.instances; i += 1) {
					this.at(faultAt + ((this.cfg.instances - i) * joinEveryMs), () => {
						this.addInstance();
						this.demand.spread();
					});
				}

				break;
			}

			case FleetFault.LoweredLimit: {
				this.at(faultAt, () => {
					this.instances[0].isLowered = true;
				});
				break;
			}

			case FleetFault.None:
			case FleetFault.BadLinks:
		}
	}

	private scheduleRestart(instance: FleetInstance, time: number): void {
		this.at(time, () => {
			instance.isUp = false;
			this.demand.spread();
		});
		this.at(time + restartMs, () => {
			instance.restart();
			this.demand.spread();
		});
	}

	private elect(): void {
		const next = this.instances.find(instance => instance.isUp && instance.leading === undefined && instance.domain !== this.cutDomain);
		if (next !== undefined) {
			this.lead(next, {term: next.term + 1, ceilings: next.ceilings, since: this.now});
		}
	}

	private addInstance(): void {
		const i = this.instances.length;
		// The busiest instances get about eight times as much as the calmest.
		const weight = 0.5 + (3.5 * (this.random() ** 3));
		this.instances.push(new FleetInstance(`i${i}`, {
			domain: i % domains, offset: Math.floor(this.random() * 1_000_000), weight, now: this.now,
		}, this.random));
	}
}
