import test from 'ava';
import type {NodeInfo} from '../view/index.js';
import {electionDelayMs} from './election-delay.js';

function node(cores: number): NodeInfo {
	return {
		name: `n${cores}`, domain: 'x', incarnation: 'i', addr: 'a', cores,
	};
}

test('a small instance waits before it stands for election', t => {
	t.true(electionDelayMs(node(0.27), [node(0.27), node(1.35)]) > 0);
	t.is(electionDelayMs(node(1.35), [node(0.27), node(1.35)]), 0);
});

test('an instance that is short of CPU time waits until larger ones have noticed the loss of the leader', t => {
	const pingIntervalMs = 600;
	const others = [node(0.2), node(1.35)];
	t.true(electionDelayMs(node(0.2), others, 0.25) > electionDelayMs(node(0.5), others, 0.25));
	t.true(electionDelayMs(node(0.2), others, 0.25) > pingIntervalMs);
	t.is(electionDelayMs(node(0.2), [node(0.2)], 0.25), 0);
});

test('instances of similar size and a single instance do not wait', t => {
	t.is(electionDelayMs(node(0.27), [node(0.27)]), 0);
	t.is(electionDelayMs(node(0.27), []), 0);
	t.is(electionDelayMs(node(0.5), [node(0.54)]), 0);
});
