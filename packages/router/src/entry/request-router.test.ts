import {
	ErrorKind, Repeat, RequestError, RetryReason, systemClock,
} from '@bluebellyard/core';
import test from 'ava';
import {MemoryCounters, retryCounterName} from '../metrics/index.js';
import {makeMember, makeTables, makeTargetRow} from '../mocks/members.js';
import {makeAnswer, makeOrder} from '../mocks/orders.js';
import {RequestRouter} from './request-router.js';

/** A router whose only target fails the first attempt with `kind`; records the ids of the attempts. */
function setUp(kind: ErrorKind) {
	const counters = new MemoryCounters();
	const member = makeMember(makeTables([], [makeTargetRow('t', 'self')], ['t']));
	const attempts: string[] = [];
	const router = new RequestRouter({
		member: () => member,
		stewardExecutor: {
			async handle(_target, order) {
				attempts.push(order.id);
				if (attempts.length === 1) {
					throw new RequestError(kind);
				}

				return makeAnswer('second');
			},
			load: () => undefined,
		},
		forwarder: {
			async forward() {
				throw new RequestError(ErrorKind.Internal);
			},
		},
		counters,
		now: () => systemClock.now(),
		seed: 1,
	});
	return {router, attempts, counters};
}

const cases: ReadonlyArray<readonly [kind: ErrorKind, once: RetryReason | undefined, idempotent: RetryReason | undefined]> = [
	[ErrorKind.ConnectionLost, undefined, RetryReason.ConnectionLost],
	[ErrorKind.TruncatedAnswer, undefined, RetryReason.TruncatedAnswer],
	[ErrorKind.TargetTimeout, undefined, undefined],
	[ErrorKind.Internal, undefined, undefined],
	[ErrorKind.ConnectFailed, RetryReason.ConnectFailed, RetryReason.ConnectFailed],
	[ErrorKind.TargetShed, RetryReason.TargetShed, RetryReason.TargetShed],
	[ErrorKind.TargetFenced, RetryReason.TargetFenced, RetryReason.TargetFenced],
	[ErrorKind.NotEntitled, RetryReason.StewardChanged, RetryReason.StewardChanged],
	[ErrorKind.QueueFull, undefined, undefined],
];

for (const [kind, once, idempotent] of cases) {
	for (const [repeat, reason] of [[Repeat.Once, once], [Repeat.Idempotent, idempotent]] as const) {
		test(`retry of ${repeat} work after ${kind}`, async t => {
			const {router, attempts, counters} = setUp(kind);
			const answer = router.run(makeOrder({repeat, deadline: systemClock.now() + 60_000}));
			if (reason === undefined) {
				await t.throwsAsync(answer, {message: kind});
				t.is(attempts.length, 1);
				t.deepEqual(counters.values(), {});
			} else {
				const {body} = await answer;
				t.is(String(body), 'second');
				t.is(counters.value(retryCounterName(reason)), 1);
			}
		});
	}
}
