import test from 'ava';
import type {NodeInfo} from '../view/index.js';
import {planStewards} from './steward-plan.js';

function node(name: string, domain: string, cores = 0.5): NodeInfo {
	return {
		name, domain, incarnation: name, addr: '10.0.0.1:1', cores,
	};
}

const nodes = [node('a1', 'a'), node('a2', 'a'), node('b1', 'b')];
const needs = ['x', 'y', 'z', 'w'].map(desk => ({desk, domain: 'a'}));
const nobody = () => undefined;

test('desks are shared out evenly inside their domain', t => {
	const plan = planStewards(needs, nodes, nobody);
	t.is([...plan.values()].filter(name => name === 'a1').length, 2);
	t.is([...plan.values()].filter(name => name === 'a2').length, 2);
});

test('an instance with more processor time gets more desks', t => {
	const plan = planStewards(needs, [node('small', 'a', 0.25), node('large', 'a', 0.75)], nobody);
	t.is([...plan.values()].filter(name => name === 'large').length, 3);
});

test('a live steward keeps its desks', t => {
	const plan = planStewards(needs, nodes, () => 'a2');
	t.true([...plan.values()].every(name => name === 'a2'));
});

test('without an instance in the domain others help out, and give back', t => {
	const plan = planStewards(needs, [nodes[2]], nobody);
	t.is(plan.get('x'), 'b1');
	t.not(planStewards(needs, nodes, desk => plan.get(desk)).get('x'), 'b1');
});

test('nobody alive, nobody in charge', t => {
	t.is(planStewards(needs, [], nobody).size, 0);
});
