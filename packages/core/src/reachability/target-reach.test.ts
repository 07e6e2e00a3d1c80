import test from 'ava';
import type {PathTarget} from './path-monitor.js';
import {TargetReach} from './target-reach.js';

const targets: readonly PathTarget[] = ['a', 'b', 'c'].map((id, i) => ({id, service: 's', domain: i < 2 ? 'x' : 'y'}));

function count(reach: TargetReach, isCutOff: boolean, now: number): Record<string, number> {
	return Object.fromEntries(reach.outOfReach(targets, isCutOff, now));
}

// An operator tells a cut-off instance from lost targets by whether all domains or single targets are out of reach.
test('targets that fail count until they respond', t => {
	const reach = new TargetReach();
	t.deepEqual(count(reach, false, 0), {x: 0, y: 0});
	reach.recordFailure('a', 0);
	reach.recordFailure('a', 10);
	reach.recordFailure('c', 10);
	t.deepEqual(count(reach, false, 20), {x: 1, y: 1});
	reach.recordSuccess('a');
	t.deepEqual(count(reach, false, 20), {x: 0, y: 1});
});

test('all targets of all domains are out of reach of an instance that is cut off', t => {
	t.deepEqual(count(new TargetReach(), true, 0), {x: 2, y: 1});
});

test('evidence that is not renewed, and targets that were removed, count no longer', t => {
	const reach = new TargetReach();
	reach.recordFailure('a', 0);
	reach.recordFailure('removed', 0);
	t.deepEqual(count(reach, false, 9999), {x: 1, y: 0});
	t.deepEqual(count(reach, false, 10_000), {x: 0, y: 0});
});
