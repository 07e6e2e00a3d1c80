import test from 'ava';
import {CrashBoard, quarantineMs, type ReportedCrash} from './crash-board.js';
import {TrialOutcome} from './suspect.js';

/** Longest time of a run in these tests, in milliseconds. */
const runMs = 1000;

/** Time after which a trial of a request with two crashes is permitted for certain, in milliseconds. */
const laterMs = 4000;

function crash(target: string, ...fingerprints: string[]): ReportedCrash {
	return {
		target, service: 's', version: 'v1', fingerprints,
	};
}

/** Returns a board on which request `x` was alone at two crashes, and the time of the second. */
function createQuarantined(): {board: CrashBoard; now: number} {
	const board = new CrashBoard([], 0);
	board.recordCrash(crash('a', 'x'), 0);
	board.recordCrash(crash('b', 'x'), 10);
	return {board, now: 10};
}

test('a suspect runs one at a time and is cleared by an answer', t => {
	const board = new CrashBoard([], 0);
	t.deepEqual(board.recordCrash(crash('a', 'x', 'y'), 0), ['x', 'y']);
	t.true(board.requestTrial('x', runMs, 1).isGranted);
	t.false(board.requestTrial('x', runMs, 2).isGranted);
	t.true(board.requestTrial('y', runMs, 2).isGranted);
	board.endTrial('x', TrialOutcome.Answered, 50);
	t.deepEqual([...board.suspects(50).keys()], ['y']);
	t.true(board.requestTrial('x', runMs, 51).isGranted);
});

test('a trial that was not run makes room at once, one without an answer when its crash would be known', t => {
	const board = new CrashBoard([], 0);
	board.recordCrash(crash('a', 'x'), 0);
	board.requestTrial('x', runMs, 1);
	board.endTrial('x', TrialOutcome.NotRun, 5);
	t.true(board.requestTrial('x', runMs, 5).isGranted);
	board.endTrial('x', TrialOutcome.Unknown, 100);
	t.false(board.requestTrial('x', runMs, 101).isGranted);
	t.true(board.requestTrial('x', runMs, 1100).isGranted);
});

test('a trial whose instance is lost ends with its longest time', t => {
	const board = new CrashBoard([], 0);
	board.recordCrash(crash('a', 'x'), 0);
	board.requestTrial('x', runMs, 0);
	t.false(board.requestTrial('x', runMs, 1999).isGranted);
	t.true(board.requestTrial('x', runMs, 2000).isGranted);
});

test('two crashes, one of a target that ran nothing else, or four lead to quarantine', t => {
	const {board} = createQuarantined();
	t.true(board.suspects(20).get('x')?.isQuarantined);
	const shared = new CrashBoard([], 0);
	shared.recordCrash(crash('a', 'x', 'y'), 0);
	shared.recordCrash(crash('b', 'x', 'y'), 10);
	t.false(shared.suspects(20).get('x')?.isQuarantined);
	t.false(shared.requestTrial('x', runMs, 20).isGranted);
	t.true(shared.requestTrial('x', runMs, 10 + laterMs).isGranted);
	shared.recordCrash(crash('c', 'x', 'z'), 5000);
	t.false(shared.suspects(5000).get('x')?.isQuarantined);
	shared.recordCrash(crash('d', 'x', 'w'), 9000);
	t.true(shared.suspects(9000).get('x')?.isQuarantined);
	t.false(shared.suspects(9000).get('z')?.isQuarantined);
});

test('requests that two senders report for one target did not run there alone', t => {
	const board = new CrashBoard([], 0);
	board.recordCrash(crash('a', 'x', 'y'), 0);
	board.recordCrash(crash('b', 'x'), 10);
	t.true(board.suspects(10).get('x')?.isQuarantined);
	board.recordCrash(crash('b', 'z'), 11);
	t.false(board.suspects(11).get('x')?.isQuarantined);
	t.true(board.requestTrial('x', runMs, 11 + laterMs).isGranted);
});

test('trials after the third crash count, whatever ran beside them', t => {
	const board = new CrashBoard([], 0);
	for (const target of ['a', 'b', 'c']) {
		board.recordCrash(crash(target, 'x', 'y'), 0);
	}

	t.like(board.requestTrial('x', runMs, laterMs), {isGranted: true, isAlone: true});
	board.recordCrash(crash('d', 'x', 'z'), laterMs);
	t.true(board.requestTrial('x', runMs, laterMs + (10 * quarantineMs)).isGranted);
	board.recordCrash(crash('e', 'x', 'z'), laterMs + (10 * quarantineMs));
	t.false(board.requestTrial('x', runMs, 1e9).isGranted);
});

test('the same crash counts once, also after the request was cleared', t => {
	const board = new CrashBoard([], 0);
	board.recordCrash(crash('a', 'x'), 0);
	t.deepEqual(board.recordCrash(crash('a', 'x'), 1), []);
	board.endTrial('x', TrialOutcome.Answered, 2);
	t.deepEqual(board.recordCrash(crash('a', 'x'), 3), []);
	t.is(board.suspects(4).size, 0);
	t.deepEqual(board.recordCrash(crash('b', 'x'), 5), ['x']);
});

test('a quarantined request gets two trials for good, with growing pauses', t => {
	const {board, now} = createQuarantined();
	const trialsAt: number[] = [];
	for (let at = now; at < 1200 * quarantineMs; at += quarantineMs) {
		if (board.requestTrial('x', runMs, at).isGranted) {
			trialsAt.push((at - now) / quarantineMs);
			board.recordCrash(crash(`trial-${at}`, 'x'), at + 70);
		}
	}

	t.deepEqual(trialsAt, [1, 12]);
	t.true(board.suspects(1200 * quarantineMs).get('x')?.isQuarantined);
});

test('a trial that was sent to no target does not count, one that its target refused does', t => {
	const {board, now} = createQuarantined();
	let at = now + quarantineMs;
	for (let n = 0; n < 5; n += 1) {
		t.true(board.requestTrial('x', runMs, at).isGranted);
		board.endTrial('x', TrialOutcome.NotSent, at + 10);
		at += 20;
	}

	t.true(board.requestTrial('x', runMs, at).isGranted);
	board.endTrial('x', TrialOutcome.NotRun, at + 10);
	t.false(board.requestTrial('x', runMs, at + 20).isGranted);
});

test('a quarantined request that is answered in its trial is released', t => {
	const {board, now} = createQuarantined();
	t.false(board.suspects(now + quarantineMs).get('x')?.isQuarantined);
	t.true(board.requestTrial('x', runMs, now + quarantineMs).isGranted);
	t.true(board.suspects(now + quarantineMs).get('x')?.isQuarantined);
	board.endTrial('x', TrialOutcome.Answered, now + quarantineMs + 50);
	t.is(board.suspects(now + quarantineMs + 50).size, 0);
});

test('a new version of the service is tried at once, the versions that crashed are not', t => {
	const {board, now} = createQuarantined();
	board.applyVersions('s', new Set(['v1', 'v2']), now + laterMs);
	t.true(board.suspects(now + laterMs).get('x')?.isQuarantined);
	board.applyVersions('other', new Set(['v2']), now + laterMs);
	t.true(board.suspects(now + laterMs).get('x')?.isQuarantined);
	board.applyVersions('s', new Set(['v2']), now + laterMs);
	t.true(board.requestTrial('x', runMs, now + laterMs).isGranted);
});

test('an operator releases a quarantined request', t => {
	const {board, now} = createQuarantined();
	t.true(board.release('x'));
	t.true(board.requestTrial('x', runMs, now + 1).isGranted);
	t.false(board.release('x'));
});

test('a crash is taken back when its target answers', t => {
	const {board, now} = createQuarantined();
	board.retractCrash('b');
	t.false(board.suspects(now).get('x')?.isQuarantined);
	board.retractCrash('a');
	t.is(board.suspects(now).size, 0);
});

test('a new leader knows crashes and trials, and waits for trials of its predecessor', t => {
	const {board, now} = createQuarantined();
	board.recordCrash(crash('c', 'y'), now);
	board.requestTrial('y', runMs, now);
	const successor = new CrashBoard(board.suspects(now), 0);
	t.true(successor.suspects(0).get('x')?.isQuarantined);
	t.false(successor.requestTrial('y', runMs, 0).isGranted);
	t.true(successor.requestTrial('y', runMs, laterMs).isGranted);
	t.false(successor.requestTrial('x', runMs, laterMs).isGranted);
});

test('requests with new content each time displace neither quarantined nor repeated suspects', t => {
	const {board, now} = createQuarantined();
	board.recordCrash(crash('c', 'y', 'z'), now);
	board.recordCrash(crash('d', 'y', 'z'), now);
	for (let n = 0; n < 5000; n += 1) {
		board.recordCrash(crash(`t${n}`, `new-${n}`), now + n);
	}

	const suspects = board.suspects(now + 5000);
	t.true(suspects.get('x')?.isQuarantined);
	t.true(suspects.has('y') && suspects.has('z'));
	t.true(suspects.size <= 3000);
});

test('suspects are forgotten after a time that grows with their crashes', t => {
	const {board} = createQuarantined();
	board.recordCrash(crash('c', 'y'), 0);
	t.deepEqual([...board.suspects(3_600_000).keys()], ['x']);
	t.is(board.suspects(90_000_000).size, 0);
});
