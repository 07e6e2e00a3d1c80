import {Repeat, TargetAdmission, defaultCallerShare} from '@bluebellyard/core';
import {EventLoop} from './event-loop.js';
import {AdmissionDriver, type DoneCallback} from './admission-driver.js';
import {Random} from './random.js';
import {atLeast, type ExperimentReport, type PolicyRow} from './report.js';
import {Statistics} from './statistics.js';
import {TargetModel, defaultTarget} from './target-model.js';

/** Numbers of targets and instances, as for the certificate registry. */
const targetCount = 20;
const instanceCount = 12;

/** Requests per second over all targets, 60% of their capacity. */
const rate = 4600;

/** Maximum number of open requests per instance; further requests wait. */
const maxOpenPerInstance = 64;

const durationMs = 18_000;

/** Time at the start whose requests are not counted, in milliseconds. */
const settleMs = 2000;

/** Interval at which other targets become the slow ones, in milliseconds. */
const slowRotationMs = 4000;

const slowFactor = 10;
const callerTimeoutMs = 1000;

/** One-way network delay from an instance to a steward, in milliseconds. */
const networkDelayMs = 0.5;

/** One-way network delay from a steward to its target, in milliseconds. */
const intraDomainDelayMs = 0.1;

/** Maximum number of queued requests per target. */
const queue = 32;

/** Smallest allowed ratio of the goodput for keys of normal targets to their goodput without slow targets. */
const minGoodputRatio = 0.98;

const chosenPolicy = 'steward, gate';

const slowShares: ReadonlyArray<[string, number]> = [['none', 0], ['10%', 0.1], ['25%', 0.25]];

type OfferedRequest = {
	readonly id: string;
	readonly target: number;
	readonly deadline: number;
};

type Submit = (request: OfferedRequest, done: DoneCallback) => void;

type SubmitFactory = (loop: EventLoop, targets: readonly TargetModel[]) => Submit;

const policies: ReadonlyMap<string, SubmitFactory> = new Map<string, SubmitFactory>([
	['hash alone, no limit', (loop, targets) => ({id, target}, done) => {
		loop.schedule(networkDelayMs, () => {
			targets[target].start(id, () => {
				loop.schedule(networkDelayMs, done);
			});
		});
	}],
	['steward, limit and queue, deadlines ignored', (loop, targets) =>
		createAdmissionSubmit(loop, targets, () => Number.POSITIVE_INFINITY)],
	[chosenPolicy, (loop, targets) => createAdmissionSubmit(loop, targets, ({deadline}) => deadline)],
]);

/**
 * Simulates keyed targets of which a changing set is 10 times slower, and measures how far the keys of the
 * other targets are affected.
 */
export function runKeyedStragglers(seed: number): ExperimentReport {
	const rows = [...policies].map(([policy, createSubmit]) => runRow(policy, createSubmit, seed));
	const chosen = rows.find(row => row.policy === chosenPolicy)?.figures ?? {};
	const aims = slowShares.slice(1).map(([label]) =>
		atLeast(`goodput of other keys, ${label} slow`, chosen[`ok of other keys ${label}`] / chosen['ok of other keys none'], minGoodputRatio));
	return {name: 'keyed stragglers', rows, aims};
}

function runRow(policy: string, createSubmit: SubmitFactory, seed: number): PolicyRow {
	const figures: Record<string, number> = {};
	for (const [label, slowShare] of slowShares) {
		const {slow, other} = runOnce(createSubmit, slowShare, seed);
		figures[`ok of other keys ${label}`] = other.ok / Math.max(1, other.offered);
		figures[`p99 ms of other keys ${label}`] = other.percentile(99);
		figures[`ok of slow keys ${label}`] = slow.ok / Math.max(1, slow.offered);
		figures[`slowest refusal ms ${label}`] = slow.slowestRefusalMs;
	}

	return {policy, figures};
}

function runOnce(createSubmit: SubmitFactory, slowShare: number, seed: number): {slow: Statistics; other: Statistics} {
	const loop = new EventLoop();
	const targets = Array.from({length: targetCount}, (_, i) => new TargetModel(loop, new Random(seed, 100 + i)));
	const submit = limitPerInstance(createSubmit(loop, targets));
	const random = new Random(seed, 0);
	const slow = new Statistics();
	const other = new Statistics();
	rotateSlowTargets(loop, targets, Math.round(slowShare * targetCount), new Random(seed, 1));
	let count = 0;
	const arrive = (): void => {
		loop.schedule(random.exponential(1000 / rate), () => {
			const startedAt = loop.now;
			const target = random.integer(targetCount);
			const statistics = targets[target].slowdownFactor > 1 ? slow : other;
			const isCounted = startedAt >= settleMs && startedAt < durationMs - callerTimeoutMs;
			const deadline = startedAt + callerTimeoutMs;
			count += 1;
			statistics.offered += Number(isCounted);
			submit(random.integer(instanceCount), {id: String(count), target, deadline}, refusal => {
				if (!isCounted) {
					return;
				}

				if (refusal === undefined) {
					statistics.recordAnswer(loop.now - startedAt, loop.now <= deadline);
				} else {
					statistics.recordRefusal(refusal, loop.now - startedAt);
				}
			});
			arrive();
		});
	};

	arrive();
	loop.runUntil(durationMs);
	return {slow, other};
}

/** Limits the open requests of each instance; further requests wait at the instance in order of arrival. */
function limitPerInstance(submit: Submit): (instance: number, request: OfferedRequest, done: DoneCallback) => void {
	const openCounts = Array.from({length: instanceCount}, () => 0);
	const waiting: Array<Array<() => void>> = openCounts.map(() => []);
	return (instance, request, done) => {
		const run = (): void => {
			openCounts[instance] += 1;
			submit(request, refusal => {
				openCounts[instance] -= 1;
				done(refusal);
				waiting[instance].shift()?.();
			});
		};

		if (openCounts[instance] < maxOpenPerInstance) {
			run();
		} else {
			waiting[instance].push(run);
		}
	};
}

function createAdmissionSubmit(loop: EventLoop, targets: readonly TargetModel[], getDeadline: (request: OfferedRequest) => number): Submit {
	const drivers = targets.map(target => {
		const cfg = {slots: defaultTarget.slots, queue, callerShare: defaultCallerShare};
		return new AdmissionDriver(loop, target, new TargetAdmission(cfg), intraDomainDelayMs);
	});
	return (request, done) => {
		loop.schedule(networkDelayMs, () => {
			const caller = `caller-${Number(request.id) % 10}`;
			const entry = {
				id: request.id, caller, repeat: Repeat.Idempotent, deadline: getDeadline(request),
			};
			drivers[request.target].submit(entry, refusal => {
				loop.schedule(networkDelayMs, () => {
					done(refusal);
				});
			});
		});
	};
}

function rotateSlowTargets(loop: EventLoop, targets: readonly TargetModel[], count: number, random: Random): void {
	const rotate = (): void => {
		const slow = new Set(random.sample(targets.length, count));
		for (const [i, target] of targets.entries()) {
			target.slowdownFactor = slow.has(i) ? slowFactor : 1;
		}
	};

	loop.schedule(settleMs, () => {
		rotate();
		loop.scheduleEvery(slowRotationMs, rotate);
	});
}
