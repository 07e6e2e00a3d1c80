import {
	KeyLoad, recentHalfLifeMs, type KeyRates, type RecentLoad,
} from '@bluebellyard/core';
import {ConditionBoard} from './condition-board.js';
import type {Report} from './messages.js';

/** Work of a request that is assumed before any was measured, in milliseconds. */
const assumedWorkMs = 100;

/** Smallest limit that counts as capacity, in requests per second; a target that takes nothing has some room, too, so that shares can be formed. */
const minLimit = 0.1;

const msPerSecond = 1000;

/** What the instances measured and what targets told them, as the leader collects it. */
export class Measurements {
	private readonly conditions: ConditionBoard;
	private readonly loads = new Map<string, KeyLoad>();
	/** Loads measured over a short time. */
	private readonly recentLoads = new Map<string, KeyLoad>();
	/** Targets that announced their leaving. */
	private readonly leaving: Set<string>;
	private readonly slownessByTarget = new Map<string, number>();
	private readonly delaysByInstance = new Map<string, number>();

	/** Begins with what the former leader published: limits by target id, and targets that leave. */
	constructor(limits: ReadonlyMap<string, number>, leaving: Iterable<string>, now: number) {
		this.conditions = new ConditionBoard(limits, now);
		this.leaving = new Set(leaving);
	}

	/** Applies the report of an instance. */
	apply(reporter: string, {
		keys, slowness, conditions, leavingTargets, delayMs,
	}: Report, now: number): void {
		for (const [service, pairs] of Object.entries(keys)) {
			const load = this.loads.get(service) ?? new KeyLoad();
			this.loads.set(service, load);
			const recent = this.recentLoads.get(service) ?? new KeyLoad(recentHalfLifeMs);
			this.recentLoads.set(service, recent);
			for (let i = 0; i + 1 < pairs.length; i += 2) {
				load.add(pairs[i], pairs[i + 1], now);
				recent.add(pairs[i], pairs[i + 1], now);
			}
		}

		this.delaysByInstance.set(reporter, delayMs ?? 0);
		for (const [target, factor] of slowness) {
			this.slownessByTarget.set(target, factor);
		}

		this.conditions.apply(reporter, conditions ?? [], now);
		for (const target of leavingTargets ?? []) {
			this.addLeaving(target);
		}
	}

	/** Records that a target announced that it leaves. */
	addLeaving(target: string): void {
		this.leaving.add(target);
	}

	/** Returns the targets that announced their leaving. Forgets those that are gone. */
	leavingTargets(isKnown: (target: string) => boolean): ReadonlySet<string> {
		for (const target of this.leaving) {
			if (!isKnown(target)) {
				this.leaving.delete(target);
			}
		}

		return this.leaving;
	}

	/** Returns the load of a service by key. */
	rates(service: string, now: number): KeyRates {
		return this.loads.get(service)?.rates(now) ?? [];
	}

	/** Returns the load of a service by key as measured over a short time, for the detection of surges. */
	recentLoad(service: string, now: number): RecentLoad | undefined {
		const load = this.recentLoads.get(service);
		return load === undefined ? undefined : {rates: load.rates(now), loadPerRequest: load.loadPerRequest};
	}

	/** Returns the long-term slowness factor of a target; 1 is normal. */
	slowness(target: string): number {
		return this.slownessByTarget.get(target) ?? 1;
	}

	/** Returns the time that work waits for CPU time in an instance, in milliseconds; 0 if it is not known. */
	delayMs(instance: string): number {
		return this.delaysByInstance.get(instance) ?? 0;
	}

	/** Converts a limit in requests per second of a service to slots of normal speed; infinite without a limit. */
	toSlots(service: string, limit: number | undefined): number {
		const workMs = this.loads.get(service)?.meanWorkMs ?? assumedWorkMs;
		return limit === undefined ? Number.POSITIVE_INFINITY : Math.max(minLimit, limit) * workMs / msPerSecond;
	}

	/** Returns the limits that targets name, by target id, in requests per second. */
	limits(isKnown: (target: string) => boolean, now: number): Map<string, number> {
		return this.conditions.limits(isKnown, now);
	}
}
