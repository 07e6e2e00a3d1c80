import {
	SlowStartLimiter, Repeat, TargetAdmission, type AnswerSample,
} from '@bluebellyard/core';
import {EventLoop} from './event-loop.js';
import {AdmissionDriver, type SimulatedEntry} from './admission-driver.js';
import {Random} from './random.js';
import {atMost, type ExperimentReport, type PolicyRow} from './report.js';
import {TargetModel, WarmUp, defaultTarget} from './target-model.js';

/** Offered requests per second, above the capacity of a warm target. */
const rate = 600;

/** Simulated time at which the target restarts or turns cold, in milliseconds. */
const coldAtMs = 1000;

/** Simulated time at the end of the run, in milliseconds. */
const endMs = 30_000;

/** Interval at which the limit is sampled, in milliseconds. */
const sampleIntervalMs = 5;

/** One-way network delay to the target, in milliseconds. */
const networkDelayMs = 0.1;

/** Largest allowed ratio of the time to the full share to the shortest possible one. */
const maxFullShareRatio = 1.5;

const chosenPolicy = 'ramp, reference known';

/** Always sets the limit to the exact number of orders that the target can run. */
class OracleLimiter extends SlowStartLimiter {
	constructor(private readonly target: TargetModel) {
		super(defaultTarget.slots);
	}

	override get limit(): number {
		return this.target.safeConcurrency;
	}
}

/** Ignores cold targets: always allows all slots. */
class FixedLimiter extends SlowStartLimiter {
	override get limit(): number {
		return defaultTarget.slots;
	}
}

/** Raises the limit by one after every 8 answers, regardless of their latency. */
class AnswerCountLimiter extends SlowStartLimiter {
	private answerCount = 0;

	override get limit(): number {
		return Math.min(defaultTarget.slots, 1 + Math.floor(this.answerCount / 8));
	}

	override reset(now: number): void {
		super.reset(now);
		this.answerCount = 0;
	}

	override handleAnswer(sample: AnswerSample, now: number): void {
		super.handleAnswer(sample, now);
		this.answerCount += 1;
	}
}

type LimiterFactory = (target: TargetModel) => SlowStartLimiter;

const policies: ReadonlyMap<string, LimiterFactory> = new Map<string, LimiterFactory>([
	['oracle', target => new OracleLimiter(target)],
	['no ramp', () => new FixedLimiter(defaultTarget.slots)],
	['counting answers', () => new AnswerCountLimiter(defaultTarget.slots)],
	['ramp, no reference', () => new SlowStartLimiter(defaultTarget.slots)],
	[chosenPolicy, () => {
		const limiter = new SlowStartLimiter(defaultTarget.slots);
		limiter.setReference(defaultTarget.serviceMs);
		return limiter;
	}],
]);

/** How the warm target becomes cold. */
enum ColdEvent {
	/** The target restarts and loses its running orders. */
	Restart = 'restart',
	/** The target becomes cold without a restart. */
	Silent = 'silent',
}

type Run = {
	readonly violations: number;
	readonly fullShareMs: number;
};

/** Simulates a warm target under load that turns cold, with several slow-start limiters. */
export function runColdStart(seed: number): ExperimentReport {
	const rows = [...policies].map(([policy, createLimiter]) => runRow(policy, createLimiter, seed));
	const chosen = rows.find(row => row.policy === chosenPolicy)?.figures ?? {};
	const oracle = rows[0].figures;
	const aims = Object.values(WarmUp).flatMap(warmUp => [
		atMost(`above bearable, restart, ${warmUp}`, chosen[`above bearable restart ${warmUp}`], 0),
		atMost(
			`time to full share against least, ${warmUp}`,
			chosen[`full share ms restart ${warmUp}`] / oracle[`full share ms restart ${warmUp}`],
			maxFullShareRatio,
		),
	]);
	return {name: 'cold start', rows, aims};
}

function runRow(policy: string, createLimiter: LimiterFactory, seed: number): PolicyRow {
	const figures: Record<string, number> = {};
	for (const event of Object.values(ColdEvent)) {
		for (const warmUp of Object.values(WarmUp)) {
			const run = runOnce(createLimiter, event, warmUp, seed);
			figures[`above bearable ${event} ${warmUp}`] = run.violations;
			figures[`full share ms ${event} ${warmUp}`] = run.fullShareMs;
		}
	}

	return {policy, figures};
}

function runOnce(createLimiter: LimiterFactory, event: ColdEvent, warmUp: WarmUp, seed: number): Run {
	const loop = new EventLoop();
	const target = new TargetModel(loop, new Random(seed, 1), {...defaultTarget, warmUp});
	const limiter = createLimiter(target);
	const admission = new TargetAdmission<SimulatedEntry>({slots: defaultTarget.slots, queue: 64, callerShare: 1}, limiter);
	const driver = new AdmissionDriver(loop, target, admission, networkDelayMs);
	scheduleArrivals(loop, driver, new Random(seed, 0), 0);
	loop.runUntil(coldAtMs);
	const before = target.violations;
	if (event === ColdEvent.Restart) {
		target.restart();
	} else {
		target.turnCold();
	}

	let fullSince: number | undefined;
	loop.scheduleEvery(sampleIntervalMs, () => {
		const full = limiter.limit >= defaultTarget.slots && target.warmUpProgress === 1;
		fullSince = full ? fullSince ?? loop.now : undefined;
	});
	loop.runUntil(endMs);
	return {violations: target.violations - before, fullShareMs: (fullSince ?? endMs) - coldAtMs};
}

function scheduleArrivals(loop: EventLoop, driver: AdmissionDriver, random: Random, count: number): void {
	loop.schedule(random.exponential(1000 / rate), () => {
		const entry = {
			id: String(count), caller: 'all', repeat: Repeat.Idempotent, deadline: loop.now + 1000,
		};
		driver.submit(entry, () => undefined);
		scheduleArrivals(loop, driver, random, count + 1);
	});
}
