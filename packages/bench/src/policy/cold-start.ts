import {
	SlowStartLimiter, Repeat, TargetAdmission, type AnswerSample,
} from '@bluebellyard/core';
import {EventLoop} from './event-loop.js';
import {AdmissionDriver, type SimulatedEntry} from './admission-driver.js';
import {Random} from './random.js';
import {atMost, type ExperimentReport, type PolicyRow} from './report.js';
import {TargetModel, WarmUp, defaultTarget} from './target-model.js';

/** Requests per second, more than a warm target can do. */
const rate = 600;

/** Time at which the target restarts or turns cold, in milliseconds. */
const chillAtMs = 1000;

/** Simulated time, in milliseconds. */
const endMs = 30_000;

/** Period in which the limit is watched, in milliseconds. */
const watchMs = 5;

/** One-way time to the target, in milliseconds. */
const hopMs = 0.1;

/** Largest ratio of the time to full share to the least possible one. */
const timeAim = 1.5;

const chosenPolicy = 'ramp, reference known';

/** Limit of one who knows what the target bears. */
class OracleRamp extends SlowStartLimiter {
	constructor(private readonly target: TargetModel) {
		super(defaultTarget.slots);
	}

	override get limit(): number {
		return this.target.safeConcurrency;
	}
}

/** No care for cold targets. */
class FixedRamp extends SlowStartLimiter {
	override get limit(): number {
		return defaultTarget.slots;
	}
}

/** Grows by one for a row of answers whatever their latency. */
class CountingRamp extends SlowStartLimiter {
	private answers = 0;

	override get limit(): number {
		return Math.min(defaultTarget.slots, 1 + Math.floor(this.answers / 8));
	}

	override reset(now: number): void {
		super.reset(now);
		this.answers = 0;
	}

	override handleAnswer(sample: AnswerSample, now: number): void {
		super.handleAnswer(sample, now);
		this.answers += 1;
	}
}

type MakeRamp = (target: TargetModel) => SlowStartLimiter;

const policies: ReadonlyMap<string, MakeRamp> = new Map<string, MakeRamp>([
	['oracle', target => new OracleRamp(target)],
	['no ramp', () => new FixedRamp(defaultTarget.slots)],
	['counting answers', () => new CountingRamp(defaultTarget.slots)],
	['ramp, no reference', () => new SlowStartLimiter(defaultTarget.slots)],
	[chosenPolicy, () => {
		const ramp = new SlowStartLimiter(defaultTarget.slots);
		ramp.setReference(defaultTarget.serviceMs);
		return ramp;
	}],
]);

/** What happens to the warm target. */
enum Chill {
	/** It restarts and loses what it runs. */
	Restart = 'restart',
	/** It turns cold while it runs on. */
	Silent = 'silent',
}

type Run = {
	readonly violations: number;
	readonly fullShareMs: number;
};

/** A warm, loaded target that turns cold, under several limits. */
export function runColdStart(seed: number): ExperimentReport {
	const rows = [...policies].map(([policy, make]) => runRow(policy, make, seed));
	const chosen = rows.find(row => row.policy === chosenPolicy)?.figures ?? {};
	const oracle = rows[0].figures;
	const aims = Object.values(WarmUp).flatMap(warmUp => [
		atMost(`above bearable, restart, ${warmUp}`, chosen[`above bearable restart ${warmUp}`], 0),
		atMost(
			`time to full share against least, ${warmUp}`,
			chosen[`full share ms restart ${warmUp}`] / oracle[`full share ms restart ${warmUp}`],
			timeAim,
		),
	]);
	return {name: 'cold start', rows, aims};
}

function runRow(policy: string, make: MakeRamp, seed: number): PolicyRow {
	const figures: Record<string, number> = {};
	for (const chill of Object.values(Chill)) {
		for (const warmUp of Object.values(WarmUp)) {
			const run = runOnce(make, chill, warmUp, seed);
			figures[`above bearable ${chill} ${warmUp}`] = run.violations;
			figures[`full share ms ${chill} ${warmUp}`] = run.fullShareMs;
		}
	}

	return {policy, figures};
}

function runOnce(make: MakeRamp, chill: Chill, warmUp: WarmUp, seed: number): Run {
	const loop = new EventLoop();
	const target = new TargetModel(loop, new Random(seed, 1), {...defaultTarget, warmUp});
	const ramp = make(target);
	const gate = new TargetAdmission<SimulatedEntry>({slots: defaultTarget.slots, queue: 64, callerShare: 1}, ramp);
	const host = new AdmissionDriver(loop, target, gate, hopMs);
	arrive(loop, host, new Random(seed, 0), 0);
	loop.runUntil(chillAtMs);
	const before = target.violations;
	if (chill === Chill.Restart) {
		target.restart();
	} else {
		target.turnCold();
	}

	let fullSince: number | undefined;
	loop.scheduleEvery(watchMs, () => {
		const full = ramp.limit >= defaultTarget.slots && target.warmUpProgress === 1;
		fullSince = full ? fullSince ?? loop.now : undefined;
	});
	loop.runUntil(endMs);
	return {violations: target.violations - before, fullShareMs: (fullSince ?? endMs) - chillAtMs};
}

function arrive(loop: EventLoop, host: AdmissionDriver, random: Random, count: number): void {
	loop.schedule(random.exponential(1000 / rate), () => {
		const entry = {
			id: String(count), caller: 'all', repeat: Repeat.Idempotent, deadline: loop.now + 1000,
		};
		host.submit(entry, () => undefined);
		arrive(loop, host, random, count + 1);
	});
}
