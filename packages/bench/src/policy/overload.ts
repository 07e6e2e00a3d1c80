import {Repeat, TargetAdmission, defaultCallerShare} from '@bluebellyard/core';
import {EventLoop} from './event-loop.js';
import {AdmissionDriver, type DoneCallback, type SimulatedEntry} from './admission-driver.js';
import {Random} from './random.js';
import {
	atLeast, atMost, type ExperimentReport, type PolicyRow,
} from './report.js';
import {Statistics} from './statistics.js';
import {TargetModel, defaultTarget} from './target-model.js';

/** Offered load in relation to what the target can do. */
const overloads = [1, 3];

const durationMs = 20_000;

/** Time at the start that is not counted, in milliseconds. */
const settleMs = 2000;

/** One-way time to the target, in milliseconds. */
const hopMs = 0.1;

/** Times that callers wait, in milliseconds; each is as frequent. */
const patienceMs = [50, 200, 1000];

/** Names of callers; the first one sends half of the requests. */
const callers = Array.from({length: 10}, (_, i) => `caller-${i}`);

/** Smallest goodput in relation to what the target can do. */
const goodputAim = 0.9;

/** Largest share of refusals that take longer than 10 ms. */
const slowRefusalAim = 0.01;

/** Waiting requests that one target may have. */
const queue = 32;

/** One in so many requests must run at most once. */
const onceEvery = 5;

/** Service times with a long tail. */
const targetCfg = {...defaultTarget, sigma: 0.9};

const chosenPolicy = 'gate';

type Offer = {
	readonly id: string;
	readonly caller: string;
	readonly deadline: number;
};

/** Takes an offered request. */
type Submit = (offer: Offer, done: DoneCallback) => void;

type MakeSubmit = (loop: EventLoop, target: TargetModel) => Submit;

const policies: ReadonlyMap<string, MakeSubmit> = new Map<string, MakeSubmit>([
	['no limit', (_, target) => ({id}, done) => {
		target.start(id, () => {
			done();
		});
	}],
	['limit and queue, deadlines ignored', (loop, target) => gated(loop, target, 1, () => Number.POSITIVE_INFINITY)],
	[chosenPolicy, (loop, target) => gated(loop, target, defaultCallerShare, ({deadline}) => deadline)],
]);

/** One target that is offered more than it can do, under several policies. */
export function runOverload(seed: number): ExperimentReport {
	const rows = [...policies].map(([policy, make]) => runRow(policy, make, seed));
	const chosen = rows.find(row => row.policy === chosenPolicy)?.figures ?? {};
	return {
		name: 'overload',
		rows,
		aims: [
			atLeast('goodput at 3 times the capacity', chosen['goodput 3x'], goodputAim),
			atMost('share of refusals over 10 ms', chosen['slow refusals 3x'], slowRefusalAim),
		],
	};
}

function runRow(policy: string, make: MakeSubmit, seed: number): PolicyRow {
	const figures: Record<string, number> = {};
	for (const overload of overloads) {
		const {tally, heavy} = runOnce(make, overload, seed);
		const seconds = (durationMs - settleMs) / 1000;
		figures[`goodput ${overload}x`] = tally.ok / seconds / capacity();
		figures[`late ${overload}x`] = tally.late;
		figures[`refused ${overload}x`] = tally.refusalCount;
		figures[`slow refusals ${overload}x`] = tally.slowRefusals / Math.max(1, tally.refusalCount);
		figures[`slowest refusal ms ${overload}x`] = tally.slowestRefusalMs;
		figures[`p99 ms ${overload}x`] = tally.percentile(99);
		figures[`heavy caller's share ${overload}x`] = heavy.ok / Math.max(1, tally.ok);
	}

	return {policy, figures};
}

function runOnce(make: MakeSubmit, overload: number, seed: number): {tally: Statistics; heavy: Statistics} {
	const loop = new EventLoop();
	const target = new TargetModel(loop, new Random(seed, 1), targetCfg);
	const submit = make(loop, target);
	const random = new Random(seed, 0);
	const tally = new Statistics();
	const heavy = new Statistics();
	let count = 0;
	const arrive = (): void => {
		loop.schedule(random.exponential(1000 / (capacity() * overload)), () => {
			const startedAt = loop.now;
			const caller = callers[random.integer(2) === 0 ? 0 : random.integer(callers.length)];
			const deadline = startedAt + patienceMs[random.integer(patienceMs.length)];
			const tallies = startedAt < settleMs ? [] : (caller === callers[0] ? [tally, heavy] : [tally]);
			count += 1;
			submit({id: String(count), caller, deadline}, refusal => {
				for (const each of tallies) {
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
	return {tally, heavy};
}

function gated(loop: EventLoop, target: TargetModel, callerShare: number, deadlineOf: (offer: Offer) => number): Submit {
	const gate = new TargetAdmission<SimulatedEntry>({slots: defaultTarget.slots, queue, callerShare});
	const host = new AdmissionDriver(loop, target, gate, hopMs);
	return (offer, done) => {
		const repeat = Number(offer.id) % onceEvery === 0 ? Repeat.Once : Repeat.Idempotent;
		host.submit({...offer, repeat, deadline: deadlineOf(offer)}, done);
	};
}

/** Requests per second that a warm target can do. */
function capacity(): number {
	const {slots, serviceMs, sigma} = targetCfg;
	return slots * 1000 / (serviceMs * Math.exp(sigma * sigma / 2));
}
