import {Buffer} from 'node:buffer';
import test from 'ava';
import {
	ErrorKind, ManualClock, RunMode, TrialOutcome, type Suspect, type TrialDecision,
} from '@bluebellyard/core';
import {Telemetry} from '../telemetry/index.js';
import {suspectPart, View} from '../view/index.js';
import {CrashGuard} from './crash-guard.js';
import {fingerprintOf} from './order-fingerprint.js';
import {failure, type Order, type OrderResult} from './order.js';
import {TrialRunner} from './trial-runner.js';

const order: Order = {
	requestId: 'r',
	method: 'POST',
	path: '/x',
	headers: [['Host', 'a.example']],
	body: Buffer.from('body'),
	route: 'route',
	service: 's',
	key: 5,
	priority: 1,
	isOnce: true,
	objectiveMs: 500,
	arrivedAt: 0,
	objectiveAt: 500,
	deadline: 2000,
	excluded: [],
	skipsRateLimited: false,
	mode: RunMode.Usual,
};

const suspect: Suspect = {
	service: 's', crashes: [{target: 'a', version: '', isAlone: true}], trials: 0, isQuarantined: false,
};

const granted: TrialDecision = {isGranted: true, isAlone: true, retryAfterMs: 0};

function refused(retryAfterMs: number): TrialDecision {
	return {isGranted: false, isAlone: false, retryAfterMs};
}

class Harness {
	readonly clock = new ManualClock();
	readonly view = new View();
	readonly guard = new CrashGuard(this.view, this.clock);
	readonly print = fingerprintOf(order);
	readonly ends: TrialOutcome[] = [];
	readonly runs: Order[] = [];
	/** Whether a steward refused the request as suspected. */
	isTold = false;
	result: OrderResult = failure(ErrorKind.ConnectionLost, {isNotRun: false});

	constructor(private readonly decisions: Array<TrialDecision | undefined>) {
		this.publish(suspect);
	}

	publish(value: Suspect | undefined): void {
		const key = `${suspectPart}/${this.print}`;
		if (value === undefined) {
			this.view.store.remove(key);
		} else {
			this.view.store.set(key, value);
		}

		this.view.notifyListeners();
	}

	async run(signal = new AbortController().signal): Promise<OrderResult | undefined> {
		const runner = new TrialRunner({
			guard: this.guard,
			clock: this.clock,
			telemetry: new Telemetry(this.clock),
			requestTrial: async () => this.decisions.shift(),
			reportEnd: (_print, outcome) => {
				this.ends.push(outcome);
			},
			waitForChange: async ms => {
				this.clock.advance(ms);
			},
		});
		return runner.run(order, {print: this.print, isTold: this.isTold, signal}, async trial => {
			this.runs.push(trial);
			return this.result;
		});
	}
}

test('a permitted trial runs as such, and its end is reported', async t => {
	const harness = new Harness([granted]);
	t.is(await harness.run(), harness.result);
	t.deepEqual(harness.runs.map(({mode}) => mode), [RunMode.TrialAlone]);
	t.deepEqual(harness.ends, [TrialOutcome.Unknown]);
	const notSent = new Harness([granted]);
	notSent.result = failure(ErrorKind.NoOwner, {});
	await notSent.run();
	t.deepEqual(notSent.ends, [TrialOutcome.NotSent]);
	const notRun = new Harness([granted]);
	notRun.result = failure(ErrorKind.TargetShed, {target: 'a'});
	await notRun.run();
	t.deepEqual(notRun.ends, [TrialOutcome.NotRun]);
});

test('a request waits for a trial that ends soon, and is refused at once if its turn is later', async t => {
	const soon = new Harness([refused(100), refused(100), granted]);
	t.is(await soon.run(), soon.result);
	t.is(soon.clock.now(), 200);
	const later = new Harness([refused(3000)]);
	t.like(await later.run(), {
		kind: 'failure', error: ErrorKind.CrashSuspect, isNotRun: true, retryAfterMs: 3000, waitMs: 0,
	});
	t.deepEqual(later.runs, []);
});

test('a quarantined request is refused without a question, one without a leader after it', async t => {
	const quarantined = new Harness([granted]);
	quarantined.publish({...suspect, isQuarantined: true});
	t.like(await quarantined.run(), {error: ErrorKind.CrashSuspect, isNotRun: true});
	t.deepEqual(quarantined.runs, []);
	const leaderless = new Harness([undefined]);
	t.like(await leaderless.run(), {error: ErrorKind.CrashSuspect, isNotRun: true});
	t.deepEqual(leaderless.runs, []);
});

test('a trial whose caller has left is not sent', async t => {
	const harness = new Harness([granted]);
	t.like(await harness.run(AbortSignal.abort()), {error: ErrorKind.CallerDisconnectedBeforeSend, isNotRun: true});
	t.deepEqual(harness.runs, []);
	t.deepEqual(harness.ends, [TrialOutcome.NotSent]);
});

test('a request that is cleared meanwhile runs as usual', async t => {
	const harness = new Harness([]);
	harness.publish(undefined);
	t.is(await harness.run(), undefined);
});

// A steward knows of a crash before the leader has published it; its refusal was the answer to callers that came back at once.
test('a request that a steward refused as suspected asks for a trial before that is published', async t => {
	const harness = new Harness([granted]);
	harness.publish(undefined);
	harness.isTold = true;
	t.is(await harness.run(), harness.result);
	t.deepEqual(harness.runs.map(({mode}) => mode), [RunMode.TrialAlone]);
});

test('other requests are not hashed, the same one is recognized at any instance', t => {
	const {guard, print} = new Harness([]);
	t.is(guard.findSuspect(order), print);
	t.is(guard.findSuspect({...order, requestId: 'other', deadline: 1}), print);
	t.is(guard.findSuspect({...order, body: Buffer.from('bodz')}), undefined);
	t.is(guard.findSuspect({...order, body: Buffer.from('longer')}), undefined);
	t.is(guard.findSuspect({...order, service: 'other'}), print);
	t.is(guard.findSuspect({...order, path: '/y'}), undefined);
});

test('a crash that this instance saw applies here until the leader has published it', t => {
	const harness = new Harness([]);
	harness.publish(undefined);
	const {guard, print, clock} = harness;
	guard.recordCrash({
		target: 'a', service: 's', version: '', fingerprints: [print],
	});
	t.is(guard.findSuspect(order), print);
	t.is(guard.reports().length, 1);
	harness.publish(suspect);
	harness.publish(undefined);
	t.is(guard.findSuspect(order), undefined);
	guard.recordCrash({
		target: 'b', service: 's', version: '', fingerprints: [print],
	});
	guard.retractCrash('b');
	t.is(guard.findSuspect(order), undefined);
	clock.advance(10_001);
	t.deepEqual(guard.reports(), []);
});
