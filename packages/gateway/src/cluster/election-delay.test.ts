import test from 'ava';
import type {NodeInfo} from '../view/index.js';
import {electionDelayMs} from './election-delay.js';

function node(cores: number): NodeInfo {
	return {
		name: `n${cores}`, domain: 'x', incarnation: 'i', addr: 'a', cores,
	};
}

test('small instances leave the lead to larger ones for a while', t => {
	t.true(electionDelayMs(node(0.27), [node(0.27), node(1.35)]) > 0);
	t.is(electionDelayMs(node(1.35), [node(0.27), node(1.35)]), 0);
});

test('among equals, or alone, nobody waits', t => {
	t.is(electionDelayMs(node(0.27), [node(0.27)]), 0);
	t.is(electionDelayMs(node(0.27), []), 0);
	t.is(electionDelayMs(node(0.5), [node(0.54)]), 0);
});
