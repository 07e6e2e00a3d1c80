import test from 'ava';
import {EventLoop} from './event-loop.js';
import {runKeyedStragglers} from './keyed-stragglers.js';
import {Random} from './random.js';
import {
	ModelOutcome, TargetModel, WarmUp, defaultTarget,
} from './target-model.js';
import {runColdStart} from './cold-start.js';
import {runOverload} from './overload.js';

test('events run by time, then in the order of scheduling', t => {
	const loop = new EventLoop();
	const seen: string[] = [];
	for (const [name, at] of [['c', 2], ['a', 1], ['d', 2], ['b', 1]] as const) {
		loop.schedule(at, () => {
			seen.push(name);
		});
	}

	loop.runUntil(5);
	t.is(seen.join(''), 'abcd');
	t.is(loop.now, 5);
});

test('a sample contains no duplicates', t => {
	t.is(new Set(new Random(1, 1).sample(10, 10)).size, 10);
});

test('the target model counts orders above its current capacity', t => {
	const loop = new EventLoop();
	const target = new TargetModel(loop, new Random(1, 1), {...defaultTarget, warmUp: WarmUp.Sudden});
	const ends: ModelOutcome[] = [];
	const start = (id: string) => {
		target.start(id, end => {
			ends.push(end);
		});
	};

	start('1');
	start('2');
	t.is(target.violations, 0);
	target.restart();
	t.deepEqual(ends, [ModelOutcome.Lost, ModelOutcome.Lost]);
	start('3');
	t.is(target.violations, 0);
	start('4');
	t.is(target.violations, 1);
	target.cancel('4');
	loop.runUntil(3999);
	t.is(ends.length, 3);
	t.is(target.safeConcurrency, 1);
	loop.runUntil(4000);
	t.is(target.safeConcurrency, 4);
});

for (const run of [runColdStart, runOverload, runKeyedStragglers]) {
	test(`all goals are met with another seed: ${run.name}`, t => {
		t.deepEqual(run(7).aims.filter(goal => !goal.met), []);
	});
}

test('the same seed yields the same report', t => {
	t.deepEqual(runOverload(3), runOverload(3));
});
