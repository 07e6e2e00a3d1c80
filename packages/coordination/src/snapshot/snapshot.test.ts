import test from 'ava';
import {encodeControl, decodeControl} from '../control/index.js';
import {FakeLog, ManualClock} from '../mocks/index.js';
import {LogUnavailable} from '../log-service/index.js';
import {SnapshotReader} from './snapshot-reader.js';
import {splitIntoChunks, SnapshotWriter} from './snapshot-writer.js';

const text = 'árvíztűrő tükörfúrógép';
const options = {
	everyRecords: 10, retentionMs: 4000, chunkChars: 5, delayMs: 100,
};

test('chunks are assembled in any order', t => {
	const reader = new SnapshotReader();
	const chunks = splitIntoChunks({of: 7, text}, 5);
	const completed = chunks.toReversed().map(chunk => reader.add(chunk)).filter(Boolean);
	t.deepEqual(completed, [{of: 7, text}]);
	t.deepEqual(reader.candidates(8), [{of: 7, text}]);
	t.deepEqual(reader.candidates(9), []);
});

test('an empty state has one chunk', t => {
	const reader = new SnapshotReader();
	t.deepEqual(splitIntoChunks({of: 1, text: ''}, 5).map(chunk => reader.add(chunk)), [{of: 1, text: ''}]);
});

test('a missing chunk, a wrong digest or chunks of different writers make no snapshot', t => {
	const reader = new SnapshotReader();
	const chunks = splitIntoChunks({of: 7, text}, 5);
	for (const chunk of chunks.slice(1)) {
		reader.add(chunk);
	}

	const [other] = splitIntoChunks({of: 7, text: 'x'.repeat(text.length)}, 5);
	reader.add(other);
	reader.add({...chunks[0], data: 'wrong'});
	t.deepEqual(reader.candidates(0), []);
	reader.add(chunks[0]);
	t.is(reader.candidates(0).length, 1);
});

test('the two newest snapshots are kept, newest first', t => {
	const reader = new SnapshotReader();
	for (const of of [3, 9, 5, 12]) {
		for (const chunk of splitIntoChunks({of, text}, 50)) {
			reader.add(chunk);
		}
	}

	t.deepEqual(reader.candidates(0).map(snapshot => snapshot.of), [12, 9]);
});

test('a snapshot is due by records or age, counting those of other writers', t => {
	const clock = new ManualClock();
	const writer = new SnapshotWriter(new FakeLog(), clock, options);
	t.false(writer.isDue(1));
	clock.advance(100);
	t.true(writer.isDue(1));
	t.false(writer.isDue(0));
	for (const chunk of splitIntoChunks({of: 5, text}, 5)) {
		t.true(writer.isDue(5));
		writer.observe(chunk);
	}

	t.false(writer.isDue(5));
	clock.advance(100);
	t.false(writer.isDue(14));
	t.true(writer.isDue(15));
	clock.advance(1000);
	t.true(writer.isDue(5));
});

test('a snapshot remains due after a failed write', async t => {
	const log = new FakeLog();
	const clock = new ManualClock();
	const writer = new SnapshotWriter(log, clock, {...options, delayMs: 0});
	log.losesAnswers = true;
	await t.throwsAsync(writer.write({of: 4, text}), {instanceOf: LogUnavailable});
	t.is(log.appends, 1);
	t.true(writer.isDue(4));
});

test('control records are decoded as they were encoded', t => {
	const [chunk] = splitIntoChunks({of: 7, text}, 50);
	t.deepEqual(decodeControl(encodeControl(chunk)), chunk);
	t.is(decodeControl('{"v":2,"kind":"marker","id":"a"}'), undefined);
	t.is(decodeControl('{"v":1,"kind":"snapshot","of":1}'), undefined);
});
