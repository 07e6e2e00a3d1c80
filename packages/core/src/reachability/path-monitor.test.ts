import test from 'ava';
import {seededRandom} from '../random/index.js';
import {PathEvidence} from './path-evidence.js';
import {CheckKind, PathMonitor, type PathTarget} from './path-monitor.js';

/** Interval between two steps, in milliseconds. */
const stepMs = 10;

/** Time after which a check that gets no answer fails, in milliseconds. */
const checkTimeoutMs = 250;

/** Time after which a request without a response is overdue, in milliseconds. */
const overdueMs = 300;

function createTargets(services: readonly string[], perService: number): PathTarget[] {
	return services.flatMap(service => Array.from({length: perService}, (_, i) => ({id: `${service}${i}`, service, domain: ['x', 'y'][i % 2]})));
}

type PendingCheck = {
	readonly target: string;
	readonly dueAt: number;
	readonly isConnected: boolean;
};

/** Plays the checks of one monitor on a network that `reaches` describes. */
class Harness {
	now = 0;
	/** Checks that opened a connection only. */
	checks = 0;
	/** Checks that asked for a byte; they are load for targets. */
	byteChecks = 0;
	/** Number of changes of the decision. */
	changes = 0;
	/** Whether connects that fail are refused, and not silent. */
	isRefused = false;
	readonly monitor: PathMonitor;
	/** Whether a connection to a target can be opened now. */
	reaches: (target: string) => boolean;
	/** Whether a connection to a target carries bytes now. */
	isAnswered = true;
	private pending: PendingCheck[] = [];

	constructor(readonly targets: readonly PathTarget[] = createTargets(['a', 'b'], 4)) {
		this.reaches = () => true;
		this.monitor = new PathMonitor({targets: () => targets, random: seededRandom(7)});
	}

	/** Advances the time; `onStep` is called in each step. */
	advance(ms: number, onStep: () => void = () => undefined): void {
		for (const end = this.now + ms; this.now < end; this.now += stepMs) {
			onStep();
			this.step();
		}
	}

	fail(target: string, evidence = PathEvidence.Overdue): void {
		const overdue = evidence === PathEvidence.Overdue ? {sentAt: this.now - overdueMs, expectedMs: 20} : undefined;
		this.monitor.recordFailure(target, evidence, this.now, overdue);
	}

	private step(): void {
		const wasCutOff = this.monitor.isCutOff;
		for (const target of this.monitor.startRound(this.now)) {
			const {kind, timeoutMs} = this.monitor.check!;
			const asksForByte = kind === CheckKind.Byte;
			const isConnected = this.reaches(target) && (this.isAnswered || !asksForByte);
			this.checks += asksForByte ? 0 : 1;
			this.byteChecks += asksForByte ? 1 : 0;
			this.pending.push({target, isConnected, dueAt: this.now + (isConnected || this.isRefused ? stepMs : timeoutMs)});
		}

		const ended = this.pending.filter(({dueAt}) => dueAt <= this.now);
		this.pending = this.pending.filter(({dueAt}) => dueAt > this.now);
		for (const {target, isConnected} of ended) {
			this.monitor.recordCheck(target, isConnected, this.now);
		}

		this.changes += wasCutOff === this.monitor.isCutOff ? 0 : 1;
	}
}

test('each kind of evidence leads to checks, and to a partition if all of them fail', t => {
	for (const evidence of Object.values(PathEvidence)) {
		const harness = new Harness();
		harness.reaches = () => false;
		harness.fail('a0', evidence);
		harness.advance(400);
		t.true(harness.monitor.isCutOff, `evidence ${evidence}`);
		t.is(harness.checks, 4);
		t.true(harness.monitor.lastDecision!.targets.includes(`a0 ${evidence}`));
	}
});

test('a partition is found within one check timeout of the first evidence', t => {
	const harness = new Harness();
	harness.reaches = () => false;
	harness.fail('a0');
	harness.advance(checkTimeoutMs + (2 * stepMs));
	t.true(harness.monitor.isCutOff);
});

test('nothing is checked in quiet times', t => {
	const harness = new Harness();
	harness.advance(60_000, () => {
		harness.monitor.recordResponse('a0', 0, harness.now);
	});
	harness.advance(60_000);
	t.is(harness.checks, 0);
	t.is(harness.byteChecks, 0);
});

test('checks end as soon as one succeeds', t => {
	const harness = new Harness();
	harness.fail('a0');
	harness.advance(10_000);
	t.is(harness.checks, 4);
	t.false(harness.monitor.isSuspected);
});

test('one crashed, slow or full target is no partition', t => {
	for (const evidence of [PathEvidence.ConnectFailed, PathEvidence.ConnectTimeout, PathEvidence.Overdue, PathEvidence.Reset]) {
		const harness = new Harness();
		harness.reaches = target => target !== 'a0';
		harness.advance(10_000, () => {
			harness.fail('a0', evidence);
		});
		t.is(harness.changes, 0, `evidence ${evidence}`);
		// At most one round in 300 ms.
		t.true(harness.checks <= 4 * 34, `${harness.checks} checks`);
	}
});

test('connections that targets close under load are no partition', t => {
	const harness = new Harness();
	const random = seededRandom(3);
	harness.advance(10_000, () => {
		const {id} = harness.targets[Math.floor(random() * harness.targets.length)];
		if (random() < 0.5) {
			harness.fail(id, PathEvidence.Reset);
		} else {
			harness.monitor.recordResponse(id, 0, harness.now);
		}
	});
	t.is(harness.changes, 0);
});

test('a restart of all targets of one service is no partition, whatever evidence came first', t => {
	for (const evidence of Object.values(PathEvidence)) {
		for (const seed of [1, 2, 3, 4, 5]) {
			const harness = new Harness(createTargets(['a', 'b', 'c'], 6));
			const random = seededRandom(seed);
			harness.isRefused = evidence === PathEvidence.ConnectFailed;
			harness.reaches = target => !target.startsWith('a');
			harness.advance(5000, () => {
				harness.fail(`a${Math.floor(random() * 6)}`, evidence);
			});
			t.is(harness.changes, 0, `${evidence}, seed ${seed}`);
		}
	}
});

test('an instance that knows one target only is never cut off', t => {
	const harness = new Harness(createTargets(['a'], 1));
	harness.reaches = () => false;
	harness.advance(5000, () => {
		harness.fail('a0', PathEvidence.ConnectTimeout);
	});
	t.false(harness.monitor.isCutOff);
});

test('two known targets are enough if both fail', t => {
	const harness = new Harness(createTargets(['a'], 2));
	harness.reaches = () => false;
	harness.fail('a0', PathEvidence.ConnectTimeout);
	harness.advance(400);
	t.true(harness.monitor.isCutOff);
});

test('responses on open connections do not hide that new ones fail', t => {
	const harness = new Harness();
	harness.advance(1000);
	harness.reaches = () => false;
	harness.fail('a0', PathEvidence.ConnectTimeout);
	harness.advance(3000, () => {
		harness.monitor.recordResponse('b0', 500, harness.now);
	});
	t.true(harness.monitor.isCutOff);
	t.true(harness.monitor.hasOpenConnections);
	t.is(harness.changes, 1);
});

test('overdue requests beside responses of other targets are no partition', t => {
	const harness = new Harness();
	harness.reaches = () => false;
	harness.advance(3000, () => {
		harness.fail('a0');
		harness.fail('a1');
		harness.fail('a2');
		harness.monitor.recordResponse('b0', 0, harness.now);
	});
	t.is(harness.changes, 0);
});

test('the partition counts as over between 1 and 2 s after its end', t => {
	for (const isRefused of [true, false]) {
		for (let phaseMs = 0; phaseMs < 500; phaseMs += stepMs) {
			const harness = new Harness();
			harness.isRefused = isRefused;
			harness.reaches = () => false;
			harness.fail('a0');
			harness.advance(2000 + phaseMs);
			harness.reaches = () => true;
			harness.advance(690);
			t.true(harness.monitor.isCutOff, `refused ${isRefused}, phase ${phaseMs}`);
			harness.advance(1310);
			t.false(harness.monitor.isCutOff, `refused ${isRefused}, phase ${phaseMs}`);
		}
	}
});

test('responses of two targets on new connections end it, those on old ones do not', t => {
	const harness = new Harness();
	harness.reaches = () => false;
	harness.fail('a0');
	harness.advance(400);
	const old = harness.now - 1000;
	harness.advance(3000, () => {
		harness.monitor.recordResponse('a0', old, harness.now);
		harness.monitor.recordResponse('b0', old, harness.now);
	});
	t.true(harness.monitor.isCutOff);
});

test('a partition that comes and goes every second moves nothing back and forth', t => {
	for (const isRefused of [true, false]) {
		for (let phaseMs = 0; phaseMs < 1000; phaseMs += 50) {
			const harness = new Harness();
			harness.isRefused = isRefused;
			harness.advance(phaseMs);
			harness.reaches = () => Math.floor(harness.now / 1000) % 2 === 1;
			harness.advance(20_000, () => {
				if (!harness.reaches('a0') && !harness.monitor.isCutOff) {
					harness.fail('a0');
				}
			});
			t.is(harness.changes, 1, `refused ${isRefused}, phase ${phaseMs}`);
		}
	}
});

test('an alarm has targets checked once and decides by the checks alone', t => {
	const healthy = new Harness();
	healthy.monitor.recordAlarm(healthy.now);
	healthy.advance(2000);
	t.is(healthy.checks, 4);
	t.is(healthy.byteChecks, 4);
	t.false(healthy.monitor.isCutOff);
	const busy = new Harness();
	busy.monitor.recordResponse('a0', 0, busy.now);
	busy.monitor.recordAlarm(busy.now);
	busy.advance(2000);
	t.is(busy.byteChecks, 0);
	const isolated = new Harness();
	isolated.reaches = () => false;
	isolated.monitor.recordAlarm(isolated.now);
	isolated.advance(400);
	t.true(isolated.monitor.isCutOff);
});

test('a round checks targets of all services and domains first', t => {
	for (const seed of [1, 2, 3, 4, 5, 6]) {
		const targets = createTargets(['a', 'b'], 8);
		const monitor = new PathMonitor({targets: () => targets, random: seededRandom(seed)});
		monitor.recordFailure('a0', PathEvidence.Overdue, 0);
		const checked = monitor.startRound(0).map(id => targets.find(target => target.id === id)!);
		t.is(new Set(checked.map(({service}) => service)).size, 2);
		t.is(new Set(checked.map(({domain}) => domain)).size, 2);
		t.false(checked.some(({id}) => id === 'a0'));
	}
});
