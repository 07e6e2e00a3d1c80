import test from 'ava';
import type {NodeInfo} from '../view/index.js';
import {headStartMs} from './head-start.js';

function node(cores: number): NodeInfo {
	return {
		name: `n${cores}`, domain: 'x', incarnation: 'i', addr: 'a', cores,
	};
}

test('small instances leave the lead to larger ones for a while', t => {
	t.true(headStartMs(node(0.27), [node(0.27), node(1.35)]) > 0);
	t.is(headStartMs(node(1.35), [node(0.27), node(1.35)]), 0);
});

test('among equals, or alone, nobody waits', t => {
	t.is(headStartMs(node(0.27), [node(0.27)]), 0);
	t.is(headStartMs(node(0.27), []), 0);
	t.is(headStartMs(node(0.5), [node(0.54)]), 0);
});
