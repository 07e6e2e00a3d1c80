import {
	assumedInstances, expectedRate, freeBucket, pingIntervalMs,
} from './allowance-rules.js';
import type {TeamCeiling, TeamUseReport} from './team-use.js';
import type {Team} from './team.js';

/** Time in which a debt is repaid and a saved burst may be used, in seconds. */
const repaySeconds = 1;

/** The same in intervals of pings, if that is longer: corrections that are faster than their effect is known make the rate oscillate. */
const repayPings = 1.5;

/** Age of a report up to which it counts as demand, beyond the interval of pings, in milliseconds. */
const demandSlackMs = 900;

/** Silence from which an instance is assumed to spend its part without contact, beyond the interval of pings, in milliseconds. */
const silenceSlackMs = 500;

/** Time without pressure after which a ceiling is removed, in milliseconds. */
const relaxMs = 2000;

/** Least interval between two publications for a team, in milliseconds. */
const publishIntervalMs = 200;

/** Fall of a ceiling that is published immediately, and change that is published at all, as shares. */
const immediateFall = 0.1;
const minChange = 0.02;

/** Largest debt, in seconds at the rate: use further back is outside the window of the limit. */
const maxDebtSeconds = 4;

/** Debt at the start of a term, in seconds at the rate: requests since the last report to the former leader. A team below 0.6 of its limit does not notice it. */
const startDebtSeconds = 0.4;

/** Longest time at the start of a term without a ceiling for a team that had none, in milliseconds, while more than one instance, the former leader, is not heard: instances that are not heard count as silent, and the ceiling would be 0. Instances that lost the leader limit themselves for longer than that. */
const startHoldMs = 300;

/** Smallest burst that is assumed, as a share of the limit of a window, so that a team without one uses its rate, too. */
const minBurstShare = 0.06;
const windowSeconds = 5;

/** Change per second and largest value of the factor by which a team gets more while it leaves its rate unused at full demand. */
const gainPerSecond = 0.3;
const maxGain = 2;

/** Ratio of demand to the limit that is a flood if pressure begins with it, and the share of the rate that is distributed until all instances have reported again: the measured demand is then half of the true one. */
const floodRatio = 1.3;
const floodShare = 0.3;

/** Steps of the search for a ceiling; each halves the interval. */
const searchSteps = 24;

const msPerSecond = 1000;
const never = Number.NEGATIVE_INFINITY;

/** A change of the pressure on the limit of a team. */
export type TeamPressureChange = {
	readonly team: string;
	readonly isPressing: boolean;
	/** Offered requests per second. */
	readonly demand: number;
};

type Source = {
	readonly incarnation: string;
	seq: number;
	/** Whether a full report was received; a team that is not known then had no use before. */
	hasFullReport: boolean;
	heardAt: number;
	/** Last reported use by team, with what was assumed in addition while it was silent. */
	readonly uses: Map<string, {admitted: number; offered: number; at: number; assumed: number}>;
};

type TeamState = {
	level: number;
	/** Corrects the estimate of what instances admit with a ceiling. */
	gain: number;
	/** Whether the level is that of a known limit. */
	isStarted: boolean;
	at: number;
	isPressing: boolean;
	/** Time at which pressure began with a demand far above the limit. */
	floodAt: number;
	pressedAt: number;
	ceiling: number | undefined;
	publishedAt: number;
};

/** Decides the ceilings of all teams on the leader. */
export class AllowanceController {
	private readonly sources = new Map<string, Source>();
	private readonly states = new Map<string, TeamState>();
	private changes: TeamPressureChange[] = [];

	/** Begins with the ceilings that the former leader published. */
	constructor(ceilings: Iterable<TeamCeiling>, private readonly startedAt: number) {
		for (const [team, ceiling] of ceilings) {
			this.states.set(team, {
				level: 0, gain: 1, isStarted: false, at: startedAt, isPressing: true, floodAt: never, pressedAt: startedAt, ceiling, publishedAt: startedAt,
			});
		}
	}

	/** Records that an instance was heard that has admitted nothing of a team since its start. */
	recordContact(instance: string, incarnation: string, now: number): void {
		this.findSource(instance, incarnation, now).hasFullReport = true;
	}

	/** Records a report of an instance. The first full report of an incarnation is the base of the later ones. */
	record(instance: string, incarnation: string, {seq, isFull, uses}: TeamUseReport, now: number): void {
		const source = this.findSource(instance, incarnation, now);
		if (seq <= source.seq) {
			return;
		}

		source.seq = seq;
		for (const [team, admitted, offered] of uses) {
			const known = source.uses.get(team);
			const state = this.getState(team);
			if (known !== undefined || source.hasFullReport) {
				state.level -= admitted - (known?.admitted ?? 0) - (known?.assumed ?? 0);
			}

			source.uses.set(team, {
				admitted, offered, at: now, assumed: 0,
			});
		}

		source.hasFullReport ||= isFull;
	}

	/** Returns all ceilings that are to be published now. `instances` are the names of the known instances. */
	tick(teams: Iterable<Team>, instances: readonly string[], now: number): TeamCeiling[] {
		this.forgetSources(instances);
		const ceilings: TeamCeiling[] = [];
		const names = new Set<string>();
		for (const team of teams) {
			if (team.ratePerSecond !== undefined && team.ratePerSecond > 0) {
				names.add(team.name);
				const ceiling = this.updateTeam(team, instances, now);
				if (ceiling !== undefined) {
					ceilings.push([team.name, ceiling]);
				}
			}
		}

		for (const name of this.states.keys()) {
			if (!names.has(name)) {
				this.states.delete(name);
			}
		}

		return ceilings;
	}

	/** Returns which teams started or stopped to press against their limit since the last call. */
	takeChanges(): TeamPressureChange[] {
		const {changes} = this;
		this.changes = [];
		return changes;
	}

	private updateTeam(team: Team, instances: readonly string[], now: number): number | undefined {
		const rate = team.ratePerSecond ?? 0;
		const state = this.getState(team.name);
		const seconds = (now - state.at) / msPerSecond;
		state.at = now;
		const {offers, reserved} = this.findDemand(team, instances, seconds, now);
		const isNewTerm = now - this.startedAt < windowSeconds * msPerSecond;
		if (!state.isStarted) {
			state.isStarted = true;
			state.level -= isNewTerm ? startDebtSeconds * rate : 0;
		}

		// What ran in the window before the term is not known.
		const capacity = isNewTerm ? 0 : Math.max(team.burst, minBurstShare * rate * windowSeconds);
		state.level = Math.max(-maxDebtSeconds * rate, Math.min(capacity, state.level + ((rate - reserved) * seconds)));
		if (state.ceiling === undefined && this.isStarting(instances, now)) {
			return undefined;
		}

		const demand = offers.reduce((sum, offer) => sum + offer, 0);
		this.updatePressure(team.name, state, {demand, free: rate - reserved}, now);
		if (!state.isPressing) {
			state.ceiling = undefined;
			state.gain = 1;
			return undefined;
		}

		// Rates of instances with few requests are estimated too high, as they report when one has arrived.
		const direction = state.level > 0 && state.level > capacity / 4 ? 1 : Math.min(0, Math.sign(state.level));
		state.gain = Math.max(1, Math.min(maxGain, state.gain + (direction * gainPerSecond * seconds)));
		const isFlood = now - state.floodAt < pingIntervalMs(instances.length);

		const levelSeconds = Math.max(repaySeconds, repayPings * pingIntervalMs(instances.length) / msPerSecond);
		const allowed = Math.max(0, rate - reserved + (state.level / levelSeconds)) * state.gain * (isFlood ? floodShare : 1);
		const ceiling = findCeiling(offers, allowed, freeBucket(team, assumedInstances(instances.length)).rate);
		publish(state, ceiling, now);
		return state.ceiling;
	}

	/** Returns whether the first reports of the term are still under way. */
	private isStarting(instances: readonly string[], now: number): boolean {
		return now - this.startedAt < startHoldMs && instances.filter(name => !this.sources.has(name)).length > 1;
	}

	private updatePressure(team: string, state: TeamState, {demand, free}: {demand: number; free: number}, now: number): void {
		if (state.level + ((free - demand) * repaySeconds) < 0) {
			state.pressedAt = now;
		}

		const isPressing = now - state.pressedAt < relaxMs;
		if (isPressing !== state.isPressing) {
			state.isPressing = isPressing;
			state.floodAt = isPressing && demand > floodRatio * free ? now : never;
			this.changes.push({team, isPressing, demand: Math.round(demand)});
		}
	}

	/** Returns the offered rates of the instances that report, and the rate that the others are assumed to use. */
	private findDemand(team: Team, instances: readonly string[], seconds: number, now: number): {offers: number[]; reserved: number} {
		const offers: number[] = [];
		let reserved = 0;
		const intervalMs = pingIntervalMs(instances.length);
		const share = (team.ratePerSecond ?? 0) / instances.length;
		for (const name of instances) {
			const source = this.sources.get(name);
			const use = source?.uses.get(team.name);
			if (source === undefined || now - source.heardAt > intervalMs + silenceSlackMs) {
				reserved += share;
				if (use !== undefined) {
					use.assumed += share * seconds;
				}
			} else if (use !== undefined && now - use.at <= intervalMs + demandSlackMs) {
				offers.push(use.offered);
			}
		}

		return {offers, reserved};
	}

	private getState(team: string): TeamState {
		const state = this.states.get(team) ?? {
			level: 0, gain: 1, isStarted: false, at: this.startedAt, isPressing: false, floodAt: never, pressedAt: never, ceiling: undefined, publishedAt: never,
		};
		this.states.set(team, state);
		return state;
	}

	private findSource(instance: string, incarnation: string, now: number): Source {
		const known = this.sources.get(instance);
		if (known?.incarnation === incarnation) {
			known.heardAt = now;
			return known;
		}

		const source: Source = {
			incarnation, seq: 0, hasFullReport: false, heardAt: now, uses: new Map(),
		};
		this.sources.set(instance, source);
		return source;
	}

	private forgetSources(instances: readonly string[]): void {
		if (this.sources.size <= instances.length) {
			return;
		}

		const known = new Set(instances);
		for (const name of this.sources.keys()) {
			if (!known.has(name)) {
				this.sources.delete(name);
			}
		}
	}
}

function publish(state: TeamState, ceiling: number, now: number): void {
	const rounded = Number(ceiling.toPrecision(3));
	const before = state.ceiling;
	const isFall = before === undefined || rounded < before * (1 - immediateFall);
	const isChange = before === undefined || Math.abs(rounded - before) > before * minChange;
	if (isFall || (isChange && now - state.publishedAt >= publishIntervalMs)) {
		state.ceiling = rounded;
		state.publishedAt = now;
	}
}

/** Returns the ceiling for each instance with which all together are expected to admit the allowed rate; at most `highest`. */
function findCeiling(offers: readonly number[], allowed: number, highest: number): number {
	let low = 0;
	let high = Math.max(highest, allowed);
	const admittedAt = (ceiling: number) => offers.reduce((sum, offered) => sum + expectedRate(offered, ceiling), 0);
	if (admittedAt(high) <= allowed) {
		return high;
	}

	for (let i = 0; i < searchSteps; i += 1) {
		const middle = (low + high) / 2;
		if (admittedAt(middle) > allowed) {
			high = middle;
		} else {
			low = middle;
		}
	}

	return low;
}
