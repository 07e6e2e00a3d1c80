/** Rules by which the instances and the leader divide the rate limit of a team. Both must assume the same. */
import type {Team} from './team.js';

/** Smallest number of instances that is assumed; an instance that has just started may not know all others. */
const minInstances = 8;

/** Multiple of an equal share that one instance may use while no ceiling is published, since demand is uneven. */
const freeShares = 8;

/** Multiple of an equal share of the burst that one instance may use while no ceiling is published. */
const freeBurstShares = 4;

/** Smallest capacity while no ceiling is published. With 2, an instance with 0.2 requests a second of a small team at 450 instances refused 5 of 100. */
const minFreeCapacity = 5;

/** Time for which an instance may save up its ceiling, or in which a permit of a low one can be used, in seconds. With 1 s, 450 instances ran 2.5 times the limit in the first half second of a ceiling. */
const ceilingWindowSeconds = 0.25;

/** Share of the rate that instances without contact use together. The rest covers permits that they have saved up. */
export const isolatedShare = 0.8;

/** Interval between two pings of the leader, per known instance, in milliseconds. */
const pingIntervalPerInstanceMs = 2.5;

/** Least interval between two pings of the leader while nothing changes, in milliseconds. */
export const minPingIntervalMs = 600;

/** Rate in requests per second and capacity in requests of a token bucket. */
export type BucketCfg = {
	readonly rate: number;
	readonly capacity: number;
};

/** Returns the number of instances to assume if `known` are known. */
export function assumedInstances(known: number): number {
	return Math.max(minInstances, known);
}

/** Returns the longest interval between two pings of the leader to an instance, in milliseconds. */
export function pingIntervalMs(instances: number): number {
	return Math.max(minPingIntervalMs, instances * pingIntervalPerInstanceMs);
}

/** Returns the bucket of an instance in contact with the leader while no ceiling is published for the team. */
export function freeBucket({ratePerSecond = 0, burst}: Team, instances: number): BucketCfg {
	return {
		rate: ratePerSecond * Math.min(1, freeShares / instances),
		capacity: Math.max(minFreeCapacity, burst * Math.min(1, freeBurstShares / instances)),
	};
}

/** Returns the bucket of an instance for a published ceiling in requests per second. */
export function ceilingBucket(ceiling: number): BucketCfg {
	return {rate: ceiling, capacity: Math.max(1, ceiling * ceilingWindowSeconds)};
}

/** Returns whether a ceiling is so low that its permits are paced and not saved up. */
export function isPaced(ceiling: number): boolean {
	return ceiling * ceilingWindowSeconds < 1;
}

/** Returns the part of a period in which the permit of a low ceiling can be used. */
export function usablePartOf(ceiling: number): number {
	return Math.min(1, ceiling * ceilingWindowSeconds);
}

/**
 * Returns the requests per second that an instance is expected to admit with a ceiling if its requests arrive at random:
 * with paced permits the rate of periods in whose usable part a request arrives, otherwise close to the smaller of both.
 */
export function expectedRate(offered: number, ceiling: number): number {
	if (offered <= 0 || ceiling <= 0) {
		return 0;
	}

	if (isPaced(ceiling)) {
		return ceiling * (1 - Math.exp(-offered * usablePartOf(ceiling) / ceiling));
	}

	// Fits a bucket: with a capacity of 1 the times to the next token and to the next request add up.
	const {capacity} = ceilingBucket(ceiling);
	const lower = Math.min(offered, ceiling);
	const ratio = lower / Math.max(offered, ceiling);
	return lower * ((1 + (ratio ** capacity)) ** (-1 / capacity));
}

/** Returns the rate in requests per second of an instance without contact. */
export function isolatedRate({ratePerSecond = 0}: Team, instances: number): number {
	return ratePerSecond * isolatedShare / instances;
}
