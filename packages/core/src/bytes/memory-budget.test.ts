import test from 'ava';
import {MemoryBudget} from './memory-budget.js';

const mb = 1024 * 1024;

// Guards against a process that is ended for its memory, as each of several bodies is below the limit of one.
test('over the limit the largest incomplete body is given up', t => {
	const budget = new MemoryBudget(10 * mb);
	const evicted: string[] = [];
	const [small, large, complete] = ['small', 'large', 'complete'].map(name => budget.open(() => {
		evicted.push(name);
	}));
	complete.update(5 * mb);
	complete.complete();
	large.update(4 * mb);
	small.update(mb);
	t.deepEqual(evicted, []);
	small.update(2 * mb);
	t.deepEqual(evicted, ['large']);
	complete.release();
	small.update(9 * mb);
	t.deepEqual(evicted, ['large']);
	small.update(11 * mb);
	t.deepEqual(evicted, ['large', 'small']);
});

test('beside complete bodies that fill the budget a growing one is given up', t => {
	const budget = new MemoryBudget(10 * mb);
	let evictions = 0;
	const onEvict = () => {
		evictions += 1;
	};

	const complete = budget.open(onEvict);
	complete.update(10 * mb);
	complete.complete();
	const growing = budget.open(onEvict);
	growing.update(1000);
	t.is(evictions, 0);
	growing.update(mb);
	t.is(evictions, 1);
});
