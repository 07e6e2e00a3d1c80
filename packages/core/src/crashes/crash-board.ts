import {
	isProven, TrialOutcome, type Crash, type Suspect, type TrialDecision,
} from './suspect.js';

/** Time from the second crash on until the next trial, in milliseconds; crashed targets are mostly back by then, so that at most two are down at a time. */
const repeatedTrialDelayMs = 3000;

/** Time from the quarantine until its first trial, in milliseconds. It grows with each trial. */
export const quarantineMs = 60_000;
const quarantineGrowth = 10;

/** Crashes from which trials are counted, and their number, over all instances and for good. The platform tolerates one more, which is left for a trial that a lost leader could not publish. */
const countedCrashes = 3;
const maxTrials = 2;

/** Time after a trial without an answer in which the report of a crash may still arrive, in milliseconds. */
const settleMs = 1000;

/** Largest number of suspects of a service at which trials run alone; more are the mark of an outage, in which room is short. */
const maxSuspectsAlone = 6;

/** Time from a change of the leader until the first trial of a suspect that it inherited, in milliseconds: a trial that the former leader permitted may still run. */
const takeOverMs = 3000;

/** Delay of the retry while another trial of the same request runs, in milliseconds; about the time of a run. */
const busyRetryMs = 100;

/** Time for which a suspect is remembered after its last crash, in milliseconds, by the number of its crashes. */
const singleCrashAgeMs = 600_000;
const repeatedCrashAgeMs = 3_600_000;
const quarantinedAgeMs = 86_400_000;

/** Time for which a crash is not recorded again for the same request, in milliseconds; senders repeat their reports for a shorter time. */
const reportMemoryMs = 60_000;

/** Largest numbers of rows. Quarantined requests have room of their own, so that a request with new content each time can't displace them. */
const maxSuspects = 2000;
const maxQuarantined = 1000;

type Row = {
	readonly service: string;
	crashes: readonly Crash[];
	trials: number;
	lastCrashAt: number;
	/** Monotonic time before which no trial is permitted. */
	nextTrialAt: number;
	/** End of the present trial; a trial without a result ends then. */
	trialEnd: number;
	/** Whether the last trial was counted. */
	isTrialCounted: boolean;
};

/** A crash as instances report it. */
export type ReportedCrash = {
	readonly target: string;
	readonly service: string;
	readonly version: string;
	readonly fingerprints: readonly string[];
};

/**
 * The leader's record of requests under which targets ended. A request is suspected from the first crash on: it runs only
 * as a trial, one at a time over all instances, and is cleared by a whole answer. After repeated crashes it is
 * quarantined. All times are monotonic milliseconds of this process.
 */
export class CrashBoard {
	private readonly rows = new Map<string, Row>();
	/** Times of the crashes that were recorded, by target and fingerprint. */
	private readonly recorded = new Map<string, number>();

	/** Begins with what the former leader published. */
	constructor(suspects: Iterable<readonly [print: string, suspect: Suspect]>, now: number) {
		for (const [print, suspect] of suspects) {
			this.add(print, suspect, now);
		}
	}

	/** Adds a suspect that was recorded before this term, unless it is known. */
	add(print: string, {service, crashes, trials}: Suspect, now: number): void {
		if (this.rows.has(print)) {
			return;
		}

		this.rows.set(print, {
			service, crashes, trials, lastCrashAt: now, nextTrialAt: now + (isProven(crashes) ? trialDelayMs(trials) : takeOverMs), trialEnd: Number.NEGATIVE_INFINITY, isTrialCounted: false,
		});
	}

	/** Records that a target ended while requests ran there. Returns the fingerprints for which this is new. */
	recordCrash({target, service, version, fingerprints}: ReportedCrash, now: number): string[] {
		const isAlone = fingerprints.length === 1;
		const changed: string[] = [];
		for (const print of fingerprints) {
			const key = `${target} ${print}`;
			const row = this.rows.get(print);
			if (this.recorded.has(key) || row?.crashes.some(crash => crash.target === target) === true) {
				continue;
			}

			this.recorded.set(key, now);
			const crashes = [...row?.crashes ?? [], {target, version, isAlone}];
			const trials = row?.trials ?? 0;
			const repeatedDelayMs = crashes.length > 1 ? repeatedTrialDelayMs : 0;
			this.rows.set(print, {
				service, crashes, trials, lastCrashAt: now, nextTrialAt: now + (isProven(crashes) ? trialDelayMs(trials) : repeatedDelayMs), trialEnd: Number.NEGATIVE_INFINITY, isTrialCounted: false,
			});
			changed.push(print);
		}

		this.correctAlone(target);
		this.limitRows();
		return changed;
	}

	/** Takes back the crash of a target that turned out to live. */
	retractCrash(target: string): void {
		for (const [print, row] of this.rows) {
			const crashes = row.crashes.filter(crash => crash.target !== target);
			if (crashes.length === 0) {
				this.rows.delete(print);
			} else if (crashes.length < row.crashes.length) {
				row.crashes = crashes;
				row.nextTrialAt = isProven(crashes) ? row.nextTrialAt : row.lastCrashAt;
			}
		}
	}

	/** Decides whether a request may run now; `maxMs` is the longest time that the run takes. */
	requestTrial(print: string, maxMs: number, now: number): TrialDecision {
		const row = this.rows.get(print);
		if (row === undefined) {
			return {isGranted: true, isAlone: false, retryAfterMs: 0};
		}

		if (row.trials >= maxTrials) {
			return refuse(quarantineMs);
		}

		if (now < row.nextTrialAt) {
			return refuse(row.nextTrialAt - now);
		}

		if (now < row.trialEnd) {
			return refuse(busyRetryMs);
		}

		row.trialEnd = now + maxMs + settleMs;
		row.isTrialCounted = isProven(row.crashes) || row.crashes.length >= countedCrashes;
		if (row.isTrialCounted) {
			row.trials += 1;
			row.nextTrialAt = now + (isProven(row.crashes) ? trialDelayMs(row.trials) : repeatedTrialDelayMs);
		}

		const isAlone = row.crashes.length > 1 || this.countUnproven(row.service) <= maxSuspectsAlone;
		return {isGranted: true, isAlone, retryAfterMs: 0};
	}

	/** Records the result of a trial. An answered request is no suspect any more; a trial that was not sent does not count. */
	endTrial(print: string, outcome: TrialOutcome, now: number): void {
		const row = this.rows.get(print);
		if (outcome === TrialOutcome.Answered) {
			this.rows.delete(print);
		} else if (row !== undefined) {
			row.trialEnd = outcome === TrialOutcome.Unknown ? now + settleMs : now;
			if (outcome === TrialOutcome.NotSent && row.isTrialCounted) {
				row.isTrialCounted = false;
				row.trials -= 1;
				row.nextTrialAt = now;
			}
		}
	}

	/** Forgets a request, on the word of an operator. Returns whether it was known. */
	release(print: string): boolean {
		return this.rows.delete(print);
	}

	/** Permits a trial of quarantined requests of a service at once if none of `versions`, those of its targets, has been seen to crash. */
	applyVersions(service: string, versions: ReadonlySet<string>, now: number): void {
		for (const row of this.rows.values()) {
			const isNew = versions.size > 0 && row.crashes.every(({version}) => version !== '' && !versions.has(version));
			if (row.service === service && isProven(row.crashes) && isNew && now >= row.lastCrashAt + repeatedTrialDelayMs) {
				row.nextTrialAt = Math.min(row.nextTrialAt, now);
			}
		}
	}

	/** Returns the suspects to publish, by fingerprint. Forgets those of long ago. */
	suspects(now: number): Map<string, Suspect> {
		for (const [key, at] of this.recorded) {
			if (now - at > reportMemoryMs) {
				this.recorded.delete(key);
			}
		}

		const suspects = new Map<string, Suspect>();
		for (const [print, {service, crashes, trials, lastCrashAt, nextTrialAt}] of this.rows) {
			const isStopped = isProven(crashes) || trials >= maxTrials;
			if (now - lastCrashAt > ageLimitMs(crashes)) {
				this.rows.delete(print);
				continue;
			}

			suspects.set(print, {
				service, crashes, trials, isQuarantined: isStopped && (trials >= maxTrials || now < nextTrialAt),
			});
		}

		return suspects;
	}

	/** Applies that requests which several senders reported for one target did not run there alone. */
	private correctAlone(target: string): void {
		const rows = [...this.rows.values()].filter(({crashes}) => crashes.some(crash => crash.target === target));
		for (const row of rows.length > 1 ? rows : []) {
			const wasProven = isProven(row.crashes);
			row.crashes = row.crashes.map(crash => crash.target === target ? {...crash, isAlone: false} : crash);
			if (wasProven && !isProven(row.crashes)) {
				row.nextTrialAt = row.lastCrashAt + repeatedTrialDelayMs;
			}
		}
	}

	private countUnproven(service: string): number {
		return [...this.rows.values()].filter(row => row.service === service && !isProven(row.crashes)).length;
	}

	/** Removes the oldest rows with the fewest crashes beyond the limits. */
	private limitRows(): void {
		for (const [isQuarantined, limit] of [[false, maxSuspects], [true, maxQuarantined]] as const) {
			const rows = [...this.rows].filter(([, {crashes}]) => isProven(crashes) === isQuarantined);
			const excess = rows.length - limit;
			if (excess > 0) {
				const byWeight = rows.toSorted(([, a], [, b]) => a.crashes.length - b.crashes.length || a.lastCrashAt - b.lastCrashAt);
				for (const [print] of byWeight.slice(0, excess)) {
					this.rows.delete(print);
				}
			}
		}
	}
}

function refuse(retryAfterMs: number): TrialDecision {
	return {isGranted: false, isAlone: false, retryAfterMs};
}

function trialDelayMs(trials: number): number {
	return quarantineMs * (quarantineGrowth ** trials);
}

function ageLimitMs(crashes: readonly Crash[]): number {
	if (isProven(crashes)) {
		return quarantinedAgeMs;
	}

	return crashes.length === 1 ? singleCrashAgeMs : repeatedCrashAgeMs;
}
