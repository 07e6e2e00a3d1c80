import test from 'ava';
import {LogFollower} from '../follower/index.js';
import {LogUnavailable} from '../log-service/index.js';
import {
	encodeWrite, FakeLog, ManualClock, RegisterFold,
} from '../mocks/index.js';
import {SnapshotWriter} from '../snapshot/index.js';
import {Appender, AppendOutcomeKind} from './appender.js';

/** Log whose first append fails without taking effect, reported as possibly run. */
class RequestLosingLog extends FakeLog {
	private isFirst = true;

	override async append(records: readonly string[]): Promise<number> {
		if (this.isFirst) {
			this.isFirst = false;
			throw new LogUnavailable('The request was lost.', true);
		}

		return super.append(records);
	}
}

function setUp(log = new FakeLog(), timeoutMs = 60_000) {
	const follower = new LogFollower({
		log,
		fold: new RegisterFold(),
		clock: new ManualClock(),
		limit: 10,
		waitMs: 1000,
		backoff: {minMs: 1, maxMs: 2},
		seed: 1,
	});
	let markers = 0;
	const appender = new Appender({
		log, follower, batchMs: 1, markerMs: 2, timeoutMs, makeId: () => `marker-${markers++}`,
	});
	const submit = async (id: string, base = 0) => appender.submit({id, data: encodeWrite(id, base, id)});
	return {
		log, follower, appender, submit,
	};
}

test('concurrent conditional writes go into one append and one is accepted', async t => {
	const {log, follower, submit} = setUp();
	follower.start();
	const outcomes = await Promise.all([submit('a'), submit('b'), submit('c')]);
	t.deepEqual(outcomes, [
		{kind: AppendOutcomeKind.Accepted, offset: 1, reason: undefined},
		{kind: AppendOutcomeKind.Rejected, offset: 2, reason: 'stale'},
		{kind: AppendOutcomeKind.Rejected, offset: 3, reason: 'stale'},
	]);
	t.is(log.appends, 1);
	await follower.stop();
});

test('a record is not accepted before it is read back', async t => {
	const {follower, submit} = setUp(new FakeLog(), 20);
	const outcome = await submit('a');
	t.is(outcome.kind, AppendOutcomeKind.Unknown);
	t.is(follower.offset, 0);
});

test('a lost answer is resolved by reading, without a second append of the record', async t => {
	const {log, follower, submit} = setUp();
	log.losesAnswers = true;
	follower.start();
	const outcome = await submit('a');
	t.is(outcome.kind, AppendOutcomeKind.Accepted);
	const {records} = await log.read(1, 100, 0);
	t.is(records.filter(record => record.data.includes('"id":"a"')).length, 1);
	await follower.stop();
});

test('a lost request is missing once a later marker is read', async t => {
	const {follower, submit} = setUp(new RequestLosingLog());
	follower.start();
	const lost = await submit('a');
	t.is(lost.kind, AppendOutcomeKind.Missing);
	const again = await submit('b');
	t.is(again.kind, AppendOutcomeKind.Accepted);
	await follower.stop();
});

test('an append to an unavailable log is not sent', async t => {
	const {log, submit} = setUp();
	log.isDown = true;
	t.deepEqual(await submit('a'), {kind: AppendOutcomeKind.NotSent});
});

test('a duplicated append gets the outcome of its first copy', async t => {
	const {log, follower, submit} = setUp();
	log.duplicates = true;
	follower.start();
	const outcome = await submit('a');
	t.deepEqual([outcome.kind, outcome.offset], [AppendOutcomeKind.Accepted, 1]);
	await follower.stop();
});

test('a record skipped by a snapshot is unknown', async t => {
	const {log, follower, submit} = setUp();
	const outcome = submit('a');
	await log.read(1, 1, 5000);
	await new SnapshotWriter(log, new ManualClock(), {
		everyRecords: 1, retentionMs: 1, chunkChars: 100, delayMs: 0,
	}).write({of: 1, text: '[1,"a"]'});
	log.truncate(2);
	await follower.poll();
	t.is(follower.state.value, 'a');
	t.deepEqual(await outcome, {kind: AppendOutcomeKind.Unknown});
});

test('closing settles pending records as unknown', async t => {
	const {appender, submit} = setUp();
	const outcome = submit('a');
	appender.close();
	t.deepEqual(await outcome, {kind: AppendOutcomeKind.Unknown});
});
