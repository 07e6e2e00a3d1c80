import {Repeat, TargetAdmission, defaultCallerShare} from '@bluebellyard/core';
import {EventLoop} from './event-loop.js';
import {AdmissionDriver, type DoneCallback, type SimulatedEntry} from './admission-driver.js';
import {Random} from './random.js';
import {
	atLeast, atMost, type ExperimentReport, type PolicyRow,
} from './report.js';
import {Statistics} from './statistics.js';
import {TargetModel, defaultTarget} from './target-model.js';

/** Offered load as a multiple of the target's capacity. */
const overloads = [1, 3];

const durationMs = 20_000;

/** Time at the start whose requests are not counted, in milliseconds. */
const settleMs = 2000;

/** One-way network delay to the target, in milliseconds. */
const networkDelayMs = 0.1;

/** Timeouts of the callers, in milliseconds; all are equally likely. */
const callerTimeoutsMs = [50, 200, 1000];

/** Names of the callers; the first one sends more than half of the requests. */
const callers = Array.from({length: 10}, (_, i) => `caller-${i}`);

/** Smallest allowed ratio of the goodput to the target's capacity. */
const minGoodputRatio = 0.9;

/** Largest allowed share of refusals that take longer than 10 ms. */
const maxSlowRefusalShare = 0.01;

/** Maximum number of queued requests per target. */
const queue = 32;

/** One in this many requests must run at most once. */
const onceEvery = 5;

/** Target whose service times have a long tail. */
const targetCfg = {...defaultTarget, sigma: 0.9};

const chosenPolicy = 'gate';

type OfferedRequest = {
	readonly id: string;
	readonly caller: string;
	readonly deadline: number;
};

/** Submits an offered request; `done` is called at its end. */
type Submit = (request: OfferedRequest, done: DoneCallback) => void;

type SubmitFactory = (loop: EventLoop, target: TargetModel) => Submit;

const policies: ReadonlyMap<string, SubmitFactory> = new Map<string, SubmitFactory>([
	['no limit', (_, target) => ({id}, done) => {
		target.start(id, () => {
			done();
		});
	}],
	['limit and queue, deadlines ignored', (loop, target) => createAdmissionSubmit(loop, target, 1, () => Number.POSITIVE_INFINITY)],
	[chosenPolicy, (loop, target) => createAdmissionSubmit(loop, target, defaultCallerShare, ({deadline}) => deadline)],
]);

/** Simulates a target under load up to 3 times its capacity, with several admission policies. */
export function runOverload(seed: number): ExperimentReport {
	const rows = [...policies].map(([policy, createSubmit]) => runRow(policy, createSubmit, seed));
	const chosen = rows.find(row => row.policy === chosenPolicy)?.figures ?? {};
	return {
		name: 'overload',
		rows,
		aims: [
			atLeast('goodput at 3 times the capacity', chosen['goodput 3x'], minGoodputRatio),
			atMost('share of refusals over 10 ms', chosen['slow refusals 3x'], maxSlowRefusalShare),
		],
	};
}

function runRow(policy: string, createSubmit: SubmitFactory, seed: number): PolicyRow {
	const figures: Record<string, number> = {};
	for (const overload of overloads) {
		const {statistics, heavy} = runOnce(createSubmit, overload, seed);
		const seconds = (durationMs - settleMs) / 1000;
		figures[`goodput ${overload}x`] = statistics.ok / seconds / computeCapacity();
		figures[`late ${overload}x`] = statistics.late;
		figures[`refused ${overload}x`] = statistics.refusalCount;
		figures[`slow refusals ${overload}x`] = statistics.slowRefusals / Math.max(1, statistics.refusalCount);
		figures[`slowest refusal ms ${overload}x`] = statistics.slowestRefusalMs;
		figures[`p99 ms ${overload}x`] = statistics.percentile(99);
		figures[`heavy caller's share ${overload}x`] = heavy.ok / Math.max(1, statistics.ok);
	}

	return {policy, figures};
}

function runOnce(createSubmit: SubmitFactory, overload: number, seed: number): {statistics: Statistics; heavy: Statistics} {
	const loop = new EventLoop();
	const target = new TargetModel(loop, new Random(seed, 1), targetCfg);
	const submit = createSubmit(loop, target);
	const random = new Random(seed, 0);
	const statistics = new Statistics();
	const heavy = new Statistics();
	let count = 0;
	const arrive = (): void => {
		loop.schedule(random.exponential(1000 / (computeCapacity() * overload)), () => {
			const startedAt = loop.now;
			const caller = callers[random.integer(2) === 0 ? 0 : random.integer(callers.length)];
			const deadline = startedAt + callerTimeoutsMs[random.integer(callerTimeoutsMs.length)];
			const matching = startedAt < settleMs ? [] : (caller === callers[0] ? [statistics, heavy] : [statistics]);
			count += 1;
			submit({id: String(count), caller, deadline}, refusal => {
				for (const each of matching) {
					if (refusal === 'target-timeout') {
						each.late += 1;
					} else if (refusal === undefined) {
						each.recordAnswer(loop.now - startedAt, loop.now <= deadline);
					} else {
						each.recordRefusal(refusal, loop.now - startedAt);
					}
				}
			});
			arrive();
		});
	};

	arrive();
	loop.runUntil(durationMs);
	return {statistics, heavy};
}

function createAdmissionSubmit(loop: EventLoop, target: TargetModel, callerShare: number, getDeadline: (request: OfferedRequest) => number): Submit {
	const admission = new TargetAdmission<SimulatedEntry>({slots: defaultTarget.slots, queue, callerShare});
	const driver = new AdmissionDriver(loop, target, admission, networkDelayMs);
	return (request, done) => {
		const repeat = Number(request.id) % onceEvery === 0 ? Repeat.Once : Repeat.Idempotent;
		driver.submit({...request, repeat, deadline: getDeadline(request)}, done);
	};
}

/** Returns the capacity of a warm target in requests per second. */
function computeCapacity(): number {
	const {slots, serviceMs, sigma} = targetCfg;
	return slots * 1000 / (serviceMs * Math.exp(sigma * sigma / 2));
}
