/** Guards against a lost answer that keeps changes by operators back until a long timeout, and against ages that are too low. */
import test, {type ExecutionContext} from 'ava';
import {systemClock} from '@bluebellyard/core';
import {
	Feed, type FeedChange, type FeedReadOptions, type OperatorEntry,
} from '../ports/index.js';
import {OperatorLoop} from './operator-loop.js';

const noChange: FeedChange<OperatorEntry> = {
	era: 0, isFull: false, set: new Map(), gone: [],
};

type Read = {
	readonly waitMs: number;
	readonly timeoutMs: number | undefined;
	readonly receive: (() => void) | undefined;
	readonly answer: (change: FeedChange<OperatorEntry>) => void;
	readonly fail: () => void;
};

/** A feed whose answers are given by the test. */
class ScriptedFeed extends Feed<OperatorEntry> {
	readonly reads: Read[] = [];

	override restart(): void {
		// Answers do not depend on it.
	}

	override fork(): ScriptedFeed {
		return new ScriptedFeed();
	}

	override async next(waitMs: number, {timeoutMs, onAnswer}: FeedReadOptions = {}): Promise<FeedChange<OperatorEntry>> {
		return new Promise((resolve, reject) => {
			this.reads.push({
				waitMs, timeoutMs, receive: onAnswer, answer: resolve, fail() {
					reject(new Error('no answer'));
				},
			});
		});
	}
}

function setUp(t: ExecutionContext): {feed: ScriptedFeed; loop: OperatorLoop; knownAt: number[]; failures: unknown[]} {
	const feed = new ScriptedFeed();
	const knownAt: number[] = [];
	const failures: unknown[] = [];
	const loop = new OperatorLoop({
		feed,
		clock: systemClock,
		onChange(_change, at) {
			knownAt.push(at);
		},
		onFailure(err) {
			failures.push(err);
		},
	});
	loop.start();
	t.teardown(() => {
		loop.stop();
	});
	return {
		feed, loop, knownAt, failures,
	};
}

/** Lets the promises of the loop settle. */
async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

test('a waiting read that fails is repeated at once, without a wait and with the usual timeout', async t => {
	const {feed, failures} = setUp(t);
	feed.reads[0].fail();
	await settle();
	t.is(failures.length, 1);
	t.is(feed.reads.length, 2);
	t.true(feed.reads[0].waitMs > 0);
	t.is(feed.reads[1].waitMs, 0);
	t.is(feed.reads[1].timeoutMs, undefined);
});

test('after an answer the next read waits for changes again', async t => {
	const {feed} = setUp(t);
	feed.reads[0].fail();
	await settle();
	feed.reads[1].answer(noChange);
	await settle();
	t.true(feed.reads[2].waitMs > 0);
});

test('a listing counts from its begin, as later records may be missing', async t => {
	const startedAt = systemClock.now();
	const {feed, knownAt} = setUp(t);
	const begunAt = systemClock.now();
	await new Promise(resolve => {
		setTimeout(resolve, 30);
	});
	feed.reads[0].answer({...noChange, isFull: true});
	await settle();
	t.true(knownAt[0] >= startedAt && knownAt[0] <= begunAt);
});

test('an answer after a stop has no effect', async t => {
	const {feed, loop, knownAt} = setUp(t);
	loop.stop();
	feed.reads[0].answer(noChange);
	await settle();
	t.deepEqual(knownAt, []);
	t.is(feed.reads.length, 1);
});

test('an answer counts as being decoded until it takes effect', async t => {
	const {feed, loop} = setUp(t);
	t.false(loop.isDecoding);
	feed.reads[0].receive?.();
	t.true(loop.isDecoding);
	feed.reads[0].answer(noChange);
	await settle();
	t.false(loop.isDecoding);
});
