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

test('instances of similar size and a single instance do not wait', t => {
	t.is(electionDelayMs(node(0.27), [node(0.27)]), 0);
	t.is(electionDelayMs(node(0.27), []), 0);
	t.is(electionDelayMs(node(0.5), [node(0.54)]), 0);
});
