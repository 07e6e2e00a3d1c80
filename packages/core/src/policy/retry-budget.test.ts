import test from 'ava';
import fc from 'fast-check';
import {Repeat} from '../rules/index.js';
import {HedgePolicy} from './hedge-policy.js';
import {RetryBudget} from './retry-budget.js';

test('repeats stay within share, rate and burst', t => {
	const cfg = {share: 0.1, perSecond: 2, burst: 5};
	fc.assert(fc.property(fc.array(fc.record({elapsed: fc.nat(50), earn: fc.boolean()}), {maxLength: 300}), steps => {
		const budget = new RetryBudget(cfg);
		let now = 0;
		let first = 0;
		let repeats = 0;
		for (const {elapsed, earn} of steps) {
			now += elapsed;
			if (earn) {
				budget.deposit(now);
				first += 1;
			}

			repeats += budget.tryWithdraw(now) ? 1 : 0;
			t.true(repeats <= cfg.burst + (first * cfg.share) + (now * cfg.perSecond / 1000) + 1e-9);
		}
	}), {seed: 5});
});

function hedge(burst: number): HedgePolicy {
	const policy = new HedgePolicy(new RetryBudget({share: 0, perSecond: 0, burst}));
	for (let i = 0; i < 200; i += 1) {
		policy.recordLatency(10);
	}

	return policy;
}

const late = {repeat: Repeat.Idempotent, sentAt: 0, deadline: 1000};
const cases: Array<[string, Partial<typeof late>, boolean]> = [
	['late and idempotent', {}, true],
	['not idempotent', {repeat: Repeat.Once}, false],
	['no time left', {deadline: 15}, false],
];

for (const [name, rest, due] of cases) {
	test(`hedge: ${name}`, t => {
		const req = {...late, ...rest};
		const policy = hedge(1);
		t.is(policy.dueAt(req) !== undefined, due);
		t.is(policy.allow(req, 12), due);
		t.false(policy.allow(req, 12), 'the budget is used up');
	});
}

test('no hedge before the pool is known', t => {
	t.is(new HedgePolicy(new RetryBudget()).dueAt(late), undefined);
});
