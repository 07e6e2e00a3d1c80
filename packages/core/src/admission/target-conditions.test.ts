import test from 'ava';
import {TargetConditions} from './target-conditions.js';

/** An answer at `now` to a request that was sent 100 ms before. */
function answer(limit: number | undefined, now: number, sentAt = now - 100) {
	return {
		limit, isConclusive: true, sentAt, now,
	};
}

test('a limit holds until a later answer names none', t => {
	const conditions = new TargetConditions();
	t.deepEqual(conditions.recordAnswer('a', answer(2, 1000)), {before: undefined, after: 2});
	t.is(conditions.limit('a', 1500), 2);
	t.is(conditions.recordAnswer('a', answer(undefined, 1050)), undefined);
	t.is(conditions.limit('a', 1500), 2);
	t.deepEqual(conditions.recordAnswer('a', answer(undefined, 1600)), {before: 2, after: undefined});
	t.is(conditions.limit('a', 1600), undefined);
});

test('an answer that need not name a limit ends none', t => {
	const conditions = new TargetConditions();
	conditions.recordAnswer('a', answer(2, 1000));
	conditions.recordAnswer('a', {...answer(undefined, 2000), isConclusive: false});
	t.is(conditions.limit('a', 2000), 2);
});

test('a stricter limit applies at once, a looser one only from a later request', t => {
	const conditions = new TargetConditions();
	conditions.recordAnswer('a', answer(4.5, 1000));
	conditions.recordAnswer('a', answer(1.3, 1010, 500));
	t.is(conditions.limit('a', 1010), 1.3);
	conditions.recordAnswer('a', answer(4.5, 1020, 600));
	t.is(conditions.limit('a', 1020), 1.3);
	conditions.recordAnswer('a', answer(4.5, 1300));
	t.is(conditions.limit('a', 1300), 4.5);
});

test('a limit ends when the target is not heard any more', t => {
	const conditions = new TargetConditions();
	conditions.recordAnswer('a', answer(2, 1000));
	t.is(conditions.limit('a', 10_900), 2);
	t.is(conditions.limit('a', 11_100), undefined);
	conditions.prune(() => true, 11_100);
	t.deepEqual(conditions.report(11_100), []);
});

test('own recent answers go before reports of others', t => {
	const conditions = new TargetConditions();
	conditions.recordAnswer('a', answer(2, 1000));
	conditions.applyReported(new Map([['a', 5]]), 1500);
	t.is(conditions.limit('a', 1500), 2);
	conditions.applyReported(new Map([['a', 3]]), 4000);
	t.is(conditions.limit('a', 4000), 3);
	conditions.applyReported(new Map(), 4500);
	t.is(conditions.limit('a', 4500), undefined);
});

test('a reported limit holds until its end is reported', t => {
	const conditions = new TargetConditions();
	conditions.applyReported(new Map([['a', 3]]), 0);
	conditions.prune(() => true, 60_000);
	t.is(conditions.limit('a', 60_000), 3);
	t.deepEqual(conditions.limits(60_000), new Map([['a', 3]]));
});

test('the end of a limit that was reported needs an answer to a later request', t => {
	const conditions = new TargetConditions();
	conditions.applyReported(new Map([['a', 3]]), 1000);
	conditions.recordAnswer('a', answer(undefined, 1050, 900));
	t.is(conditions.limit('a', 1050), 3);
	conditions.recordAnswer('a', answer(undefined, 1200, 1100));
	t.is(conditions.limit('a', 1200), undefined);
});

test('a report names limits and their ends with their ages, and nothing that others reported', t => {
	const conditions = new TargetConditions();
	conditions.recordAnswer('a', answer(2, 1000));
	conditions.recordAnswer('b', answer(2, 1000));
	conditions.recordAnswer('b', answer(undefined, 1500));
	conditions.applyReported(new Map([['c', 5]]), 1500);
	t.deepEqual(conditions.report(2000), [['a', 2, 1000], ['b', null, 500]]);
});

test('a target that is gone is forgotten', t => {
	const conditions = new TargetConditions();
	conditions.recordAnswer('a', answer(2, 1000));
	conditions.applyReported(new Map([['a', 2]]), 1000);
	conditions.prune(() => false, 1100);
	t.is(conditions.limit('a', 1100), undefined);
});
