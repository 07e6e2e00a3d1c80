import test from 'ava';
import {LogReset, LogTruncated, LogUnavailable} from '../log-service/index.js';
import {
	encodeWrite, FakeLog, ManualClock, RegisterFold,
} from '../mocks/index.js';
import {SnapshotWriter} from '../snapshot/index.js';
import {Backoff} from './backoff.js';
import {NoSnapshot} from './load-snapshot.js';
import {LogFollower, watchSnapshots} from './log-follower.js';

function setUp(log = new FakeLog(), waitMs = 0) {
	const clock = new ManualClock();
	const follower = new LogFollower({
		log, fold: new RegisterFold(), clock, limit: 2, waitMs, backoff: {minMs: 1, maxMs: 2}, seed: 1,
	});
	const writer = new SnapshotWriter(log, clock, {
		everyRecords: 100, retentionMs: 4000, chunkChars: 4, delayMs: 0,
	});
	watchSnapshots(follower, chunk => {
		writer.observe(chunk);
	});
	return {
		log, clock, follower, writer,
	};
}

async function catchUp(follower: LogFollower<unknown>, log: FakeLog): Promise<void> {
	while (!follower.isLoaded || follower.offset + 1 < log.next) {
		// eslint-disable-next-line no-await-in-loop
		await follower.poll();
	}
}

test('folds records in order and ignores malformed ones', async t => {
	const {log, follower} = setUp();
	await log.append([encodeWrite('a', 0, 'x'), encodeWrite('b', 0, 'y')]);
	for (const data of ['', 'no json', '7', '{}', '{"v":99}', '{"v":1,"kind":"marker"}', '{"v":1}']) {
		log.foreign(data);
	}

	await log.append([encodeWrite('c', 1, 'z')]);
	await catchUp(follower, log);
	t.deepEqual(follower.state, {version: 10, value: 'z'});
	t.deepEqual(follower.counters, {
		accepted: 2, rejected: 1, foreign: 7, failures: 0, truncated: 0,
	});
});

test('a duplicated append is rejected the second time', async t => {
	const {log, follower} = setUp();
	log.duplicates = true;
	const verdicts: boolean[] = [];
	follower.onFold((_offset, verdict) => {
		verdicts.push(verdict.accepted);
	});
	await log.append([encodeWrite('a', 0, 'x')]);
	await catchUp(follower, log);
	t.deepEqual(verdicts, [true, false]);
});

test('onTail reports the send time, and only at the end of the log', async t => {
	const {log, clock, follower} = setUp();
	const tails: number[] = [];
	follower.onTail(sentAt => {
		tails.push(sentAt);
	});
	await log.append([encodeWrite('a', 0, 'x'), encodeWrite('b', 1, 'y'), encodeWrite('c', 2, 'z')]);
	await follower.poll();
	clock.advance(10);
	await follower.poll();
	t.deepEqual(tails, []);
	const poll = follower.poll();
	clock.advance(10);
	await poll;
	t.deepEqual(tails, [10]);
});

test('starts from a snapshot when the first records are truncated', async t => {
	const {log, follower, writer} = setUp();
	await log.append([encodeWrite('a', 0, 'x'), encodeWrite('b', 1, 'y')]);
	await catchUp(follower, log);
	await writer.write(follower.encode());
	await log.append([encodeWrite('c', 2, 'z')]);
	log.truncate(3);
	const lateFollower = setUp(log).follower;
	await catchUp(lateFollower, log);
	t.deepEqual(lateFollower.state, {version: log.next - 1, value: 'z'});
});

test('the state survives many retention periods through rewritten snapshots', async t => {
	const {log, clock, follower, writer} = setUp();
	await log.append([encodeWrite('a', 0, 'kept')]);
	/** End of the log at the start of each round. */
	const starts: number[] = [];
	for (let round = 0; round < 12; round++) {
		starts.push(log.next);
		// eslint-disable-next-line no-await-in-loop
		await catchUp(follower, log);
		if (writer.isDue(follower.offset)) {
			// eslint-disable-next-line no-await-in-loop
			await writer.write(follower.encode());
		}

		clock.advance(1000);
		// eslint-disable-next-line no-await-in-loop
		await catchUp(follower, log);
		log.truncate(starts.at(-4) ?? 1);
		const lateFollower = setUp(log).follower;
		// eslint-disable-next-line no-await-in-loop
		await catchUp(lateFollower, log);
		t.is(lateFollower.state.value, 'kept');
	}
});

test('an incomplete snapshot is never used', async t => {
	const {log, follower, writer} = setUp();
	await log.append([encodeWrite('a', 0, 'x')]);
	await catchUp(follower, log);
	await writer.write(follower.encode());
	log.truncate(3);
	const lateFollower = setUp(log).follower;
	await t.throwsAsync(lateFollower.poll(), {instanceOf: NoSnapshot});
	t.false(lateFollower.isLoaded);
});

test('an older snapshot is used when a newer one cannot be decoded', async t => {
	const {log, follower, writer} = setUp();
	await log.append([encodeWrite('a', 0, 'x')]);
	await catchUp(follower, log);
	await writer.write(follower.encode());
	await writer.write({of: 3, text: 'not decodable'});
	log.truncate(2);
	const lateFollower = setUp(log).follower;
	await catchUp(lateFollower, log);
	t.is(lateFollower.state.value, 'x');
});

test('loads a snapshot again when records were truncated before it read them', async t => {
	const {log, follower, writer} = setUp();
	const loads: number[] = [];
	follower.onLoad(offset => {
		loads.push(offset);
	});
	await log.append([encodeWrite('a', 0, 'x')]);
	await catchUp(follower, log);
	const other = setUp(log).follower;
	await log.append([encodeWrite('b', 1, 'y'), encodeWrite('c', 2, 'z')]);
	await catchUp(other, log);
	await writer.write(other.encode());
	log.truncate(4);
	await t.throwsAsync(follower.poll(), {instanceOf: LogTruncated});
	await catchUp(follower, log);
	t.deepEqual(loads, [0, 3]);
	t.deepEqual(follower.state, {version: 3, value: 'z'});
});

test('adopts the state of a peer while the log is down', async t => {
	const {log, follower} = setUp();
	log.isDown = true;
	await t.throwsAsync(follower.poll(), {instanceOf: LogUnavailable});
	t.true(follower.adopt({state: {version: 1, value: 'x'}, offset: 1}));
	t.false(follower.adopt({state: {version: 0, value: ''}, offset: 0}));
	t.is(follower.state.value, 'x');
	log.isDown = false;
	await log.append([encodeWrite('a', 0, 'x'), encodeWrite('b', 1, 'y')]);
	await catchUp(follower, log);
	t.is(follower.state.value, 'y');
});

test('a log that ends before the folded offset is a failure', async t => {
	const {follower} = setUp();
	follower.adopt({state: {version: 5, value: 'x'}, offset: 5});
	let tails = 0;
	follower.onTail(() => {
		tails++;
	});
	await t.throwsAsync(follower.poll(), {instanceOf: LogUnavailable});
	t.is(tails, 0);
	t.is(follower.counters.failures, 1);
});

test('keeps following through an outage until it is stopped', async t => {
	const {log, follower} = setUp(new FakeLog(), 1000);
	log.isDown = true;
	const folded = new Promise<string | undefined>(resolve => {
		follower.onFold((_offset, verdict) => {
			resolve(verdict.id);
		});
	});
	follower.start();
	log.isDown = false;
	await log.append([encodeWrite('a', 0, 'x')]);
	t.is(await folded, 'a');
	await follower.stop();
});

test('a backoff grows to its bound with jitter and starts over after a reset', t => {
	const backoff = new Backoff({minMs: 10, maxMs: 40}, 7);
	const waits = [1, 2, 3, 4].map(() => backoff.nextMs());
	const bounds = [10, 20, 40, 40];
	t.true(waits.every((ms, i) => ms >= (bounds[i] ?? 0) / 2 && ms <= (bounds[i] ?? 0)));
	backoff.reset();
	t.true(backoff.nextMs() <= 10);
});

/** Returns a follower that has folded three records of a log, of which the last two are lost then. */
async function setUpRestored() {
	const parts = setUp();
	const {log, follower} = parts;
	await log.append([encodeWrite('a', 0, 'x'), encodeWrite('b', 1, 'y'), encodeWrite('c', 2, 'z')]);
	await catchUp(follower, log);
	log.restore(2);
	return parts;
}

// The records after the own offset were folded on top of others than those of the log.
test('a log that lost folded records is not followed when it has grown again', async t => {
	const {log, follower} = await setUpRestored();
	const resets: LogReset[] = [];
	follower.onReset(err => {
		resets.push(err);
	});
	await t.throwsAsync(follower.poll(), {instanceOf: LogUnavailable});
	await log.append([encodeWrite('d', 1, 'v'), encodeWrite('e', 2, 'w'), encodeWrite('f', 3, 'u')]);
	await t.throwsAsync(follower.poll(), {instanceOf: LogReset});
	await t.throwsAsync(follower.poll(), {instanceOf: LogReset});
	t.is(resets.length, 1);
	t.false(follower.isLoaded);
	t.false(follower.adopt({state: {version: 9, value: 'peer'}, offset: 9}));
	t.is(follower.state.value, 'z');
});

test('a log that grew to the same end in one outage counts as reset', async t => {
	const {log, follower} = await setUpRestored();
	log.isDown = true;
	await t.throwsAsync(follower.poll(), {instanceOf: LogUnavailable});
	log.isDown = false;
	await log.append([encodeWrite('d', 1, 'v'), encodeWrite('e', 2, 'w')]);
	let tails = 0;
	follower.onTail(() => {
		tails++;
	});
	await t.throwsAsync(follower.poll(), {instanceOf: LogReset});
	t.is(tails, 0);
});

test('a log that keeps its records is followed on after an outage', async t => {
	const {log, follower} = setUp();
	await log.append([encodeWrite('a', 0, 'x')]);
	await catchUp(follower, log);
	log.isDown = true;
	await t.throwsAsync(follower.poll(), {instanceOf: LogUnavailable});
	log.isDown = false;
	await log.append([encodeWrite('b', 1, 'y')]);
	log.truncate(2);
	await catchUp(follower, log);
	t.is(follower.state.value, 'y');
});

test('the end of a log that lost folded records is not reported', async t => {
	const {log, follower} = setUp();
	await log.append([encodeWrite('a', 0, 'x'), encodeWrite('b', 1, 'y')]);
	await catchUp(follower, log);
	t.is(await follower.readEnd(), 3);
	log.restore(2);
	await t.throwsAsync(follower.readEnd(), {instanceOf: LogUnavailable});
	await log.append([encodeWrite('c', 1, 'z')]);
	await t.throwsAsync(follower.readEnd(), {instanceOf: LogReset});
});

test('a snapshot newer than the records before it in the log is not used', async t => {
	const {log, follower, writer} = setUp();
	await log.append([encodeWrite('a', 0, 'x'), encodeWrite('b', 1, 'y'), encodeWrite('c', 2, 'z')]);
	await catchUp(follower, log);
	log.restore(2);
	await writer.write(follower.encode());
	const lateFollower = setUp(log).follower;
	await catchUp(lateFollower, log);
	t.is(lateFollower.state.value, 'x');
});

test('a log that ends too early is reported until it is read again', async t => {
	const {log, follower} = await setUpRestored();
	const failures: string[] = [];
	follower.onFailure(err => {
		failures.push(String(err));
	});
	await t.throwsAsync(follower.poll(), {instanceOf: LogUnavailable});
	await t.throwsAsync(follower.poll(), {instanceOf: LogUnavailable});
	await log.append([encodeWrite('b', 1, 'y'), encodeWrite('c', 2, 'z')]);
	await follower.poll();
	t.deepEqual(failures, Array.from({length: 2}, () => 'LogUnavailable: The log ends at 2, before folded offset 3.'));
});
