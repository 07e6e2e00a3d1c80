import {Repeat, TargetAdmission, defaultCallerShare} from '@bluebellyard/core';
import {EventLoop} from './event-loop.js';
import {AdmissionDriver, type DoneCallback} from './admission-driver.js';
import {Random} from './random.js';
import {atLeast, type ExperimentReport, type PolicyRow} from './report.js';
import {Statistics} from './statistics.js';
import {TargetModel, defaultTarget} from './target-model.js';

/** Sizes of the certificate registry. */
const targetCount = 20;
const instanceCount = 12;

/** Requests per second over all targets, 60% of what they can do. */
const rate = 4600;

/** Requests that one instance may have open; more wait. */
const instanceLimit = 64;

const durationMs = 18_000;

/** Time at the start that is not counted, in milliseconds. */
const settleMs = 2000;

/** Time after which other targets are slow, in milliseconds. */
const moveEveryMs = 4000;

const slowFactor = 10;
const patienceMs = 1000;

/** One-way time from an instance to a steward, in milliseconds. */
const hopMs = 0.5;

/** One-way time from a steward to its target, in milliseconds. */
const nearHopMs = 0.1;

/** Waiting requests that one target may have. */
const queue = 32;

/** Least goodput for keys of targets that are not slow, relative to that without slow targets. */
const goodputAim = 0.98;

const chosenPolicy = 'steward, gate';

const shares: ReadonlyArray<[string, number]> = [['none', 0], ['10%', 0.1], ['25%', 0.25]];

type Offer = {
	readonly id: string;
	readonly target: number;
	readonly deadline: number;
};

type Submit = (offer: Offer, done: DoneCallback) => void;

type MakeSubmit = (loop: EventLoop, targets: readonly TargetModel[]) => Submit;

const policies: ReadonlyMap<string, MakeSubmit> = new Map<string, MakeSubmit>([
	['hash alone, no limit', (loop, targets) => ({id, target}, done) => {
		loop.schedule(hopMs, () => {
			targets[target].start(id, () => {
				loop.schedule(hopMs, done);
			});
		});
	}],
	['steward, limit and queue, deadlines ignored', (loop, targets) =>
		gated(loop, targets, () => Number.POSITIVE_INFINITY)],
	[chosenPolicy, (loop, targets) => gated(loop, targets, ({deadline}) => deadline)],
]);

/** Keyed targets 10 times slower, in turn: what the keys of the others get. */
export function runKeyedStragglers(seed: number): ExperimentReport {
	const rows = [...policies].map(([policy, make]) => runRow(policy, make, seed));
	const chosen = rows.find(row => row.policy === chosenPolicy)?.figures ?? {};
	const aims = shares.slice(1).map(([share]) =>
		atLeast(`goodput of other keys, ${share} slow`, chosen[`ok of other keys ${share}`] / chosen['ok of other keys none'], goodputAim));
	return {name: 'keyed stragglers', rows, aims};
}

function runRow(policy: string, make: MakeSubmit, seed: number): PolicyRow {
	const figures: Record<string, number> = {};
	for (const [share, part] of shares) {
		const {slow, other} = runOnce(make, part, seed);
		figures[`ok of other keys ${share}`] = other.ok / Math.max(1, other.offered);
		figures[`p99 ms of other keys ${share}`] = other.percentile(99);
		figures[`ok of slow keys ${share}`] = slow.ok / Math.max(1, slow.offered);
		figures[`slowest refusal ms ${share}`] = slow.slowestRefusalMs;
	}

	return {policy, figures};
}

function runOnce(make: MakeSubmit, part: number, seed: number): {slow: Statistics; other: Statistics} {
	const loop = new EventLoop();
	const targets = Array.from({length: targetCount}, (_, i) => new TargetModel(loop, new Random(seed, 100 + i)));
	const submit = limited(make(loop, targets));
	const random = new Random(seed, 0);
	const slow = new Statistics();
	const other = new Statistics();
	moveSlowness(loop, targets, Math.round(part * targetCount), new Random(seed, 1));
	let count = 0;
	const arrive = (): void => {
		loop.schedule(random.exponential(1000 / rate), () => {
			const startedAt = loop.now;
			const target = random.integer(targetCount);
			const tally = targets[target].slowdownFactor > 1 ? slow : other;
			const isCounted = startedAt >= settleMs && startedAt < durationMs - patienceMs;
			const deadline = startedAt + patienceMs;
			count += 1;
			tally.offered += Number(isCounted);
			submit(random.integer(instanceCount), {id: String(count), target, deadline}, refusal => {
				if (!isCounted) {
					return;
				}

				if (refusal === undefined) {
					tally.recordAnswer(loop.now - startedAt, loop.now <= deadline);
				} else {
					tally.recordRefusal(refusal, loop.now - startedAt);
				}
			});
			arrive();
		});
	};

	arrive();
	loop.runUntil(durationMs);
	return {slow, other};
}

/** Bounds what each instance has open; the rest waits there in order of arrival. */
function limited(submit: Submit): (instance: number, offer: Offer, done: DoneCallback) => void {
	const open = Array.from({length: instanceCount}, () => 0);
	const waiting: Array<Array<() => void>> = open.map(() => []);
	return (instance, offer, done) => {
		const run = (): void => {
			open[instance] += 1;
			submit(offer, refusal => {
				open[instance] -= 1;
				done(refusal);
				waiting[instance].shift()?.();
			});
		};

		if (open[instance] < instanceLimit) {
			run();
		} else {
			waiting[instance].push(run);
		}
	};
}

function gated(loop: EventLoop, targets: readonly TargetModel[], deadlineOf: (offer: Offer) => number): Submit {
	const hosts = targets.map(target => {
		const cfg = {slots: defaultTarget.slots, queue, callerShare: defaultCallerShare};
		return new AdmissionDriver(loop, target, new TargetAdmission(cfg), nearHopMs);
	});
	return (offer, done) => {
		loop.schedule(hopMs, () => {
			const caller = `caller-${Number(offer.id) % 10}`;
			const entry = {
				id: offer.id, caller, repeat: Repeat.Idempotent, deadline: deadlineOf(offer),
			};
			hosts[offer.target].submit(entry, refusal => {
				loop.schedule(hopMs, () => {
					done(refusal);
				});
			});
		});
	};
}

function moveSlowness(loop: EventLoop, targets: readonly TargetModel[], count: number, random: Random): void {
	const move = (): void => {
		const slow = new Set(random.sample(targets.length, count));
		for (const [i, target] of targets.entries()) {
			target.slowdownFactor = slow.has(i) ? slowFactor : 1;
		}
	};

	loop.schedule(settleMs, () => {
		move();
		loop.scheduleEvery(moveEveryMs, move);
	});
}
