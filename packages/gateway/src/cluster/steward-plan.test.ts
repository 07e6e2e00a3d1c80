import test from 'ava';
import type {NodeInfo} from '../view/index.js';
import {withoutCutOff} from './cut-off-instances.js';
import {planStewards} from './steward-plan.js';

function node(name: string, domain: string, cores = 0.5): NodeInfo {
	return {
		name, domain, incarnation: name, addr: '10.0.0.1:1', cores,
	};
}

const nodes = [node('a1', 'a'), node('a2', 'a'), node('b1', 'b')];
const queues = ['x', 'y', 'z', 'w'].map(queueId => ({queueId, domain: 'a'}));
const noSteward = () => undefined;

test('queues are distributed evenly inside their domain', t => {
	const plan = planStewards(queues, nodes, noSteward);
	t.is([...plan.values()].filter(name => name === 'a1').length, 2);
	t.is([...plan.values()].filter(name => name === 'a2').length, 2);
});

test('an instance with more processor time gets more queues', t => {
	const plan = planStewards(queues, [node('small', 'a', 0.25), node('large', 'a', 0.75)], noSteward);
	t.is([...plan.values()].filter(name => name === 'large').length, 3);
});

test('a live steward keeps its queues', t => {
	const plan = planStewards(queues, nodes, () => 'a2');
	t.true([...plan.values()].every(name => name === 'a2'));
});

test('a domain without an instance gets stewards elsewhere until it has one', t => {
	const plan = planStewards(queues, [nodes[2]], noSteward);
	t.is(plan.get('x'), 'b1');
	t.not(planStewards(queues, nodes, queueId => plan.get(queueId)).get('x'), 'b1');
});

test('without a live instance nothing is assigned', t => {
	t.is(planStewards(queues, [], noSteward).size, 0);
});

/** Plans with some instances cut off from the targets. */
function planWithout(cutOff: readonly string[], current: ReadonlyMap<string, string>): Map<string, string> {
	return planStewards(queues, withoutCutOff(nodes, name => cutOff.includes(name)), queueId => current.get(queueId));
}

test('the queues of an instance that is cut off move inside the domain, or to another one if all of it is cut off', t => {
	const before = planWithout([], new Map());
	t.true([...planWithout(['a1'], before).values()].every(name => name === 'a2'));
	const elsewhere = planWithout(['a1', 'a2'], before);
	t.true([...elsewhere.values()].every(name => name === 'b1'));
	t.true([...planWithout(['a2'], elsewhere).values()].every(name => name === 'a1'));
});

test('if all instances are cut off, nothing moves', t => {
	const before = planWithout([], new Map());
	t.deepEqual(planWithout(['a1', 'a2', 'b1'], before), before);
});

// The balancer gives an instance with a fifth of a core as many callers as a large one; with queues as well its requests waited twice.
test('instances short of processor time get queues only if their domain has no other', t => {
	const mixed = [node('small', 'a', 0.2), node('large', 'a', 1.35)];
	const isShort = (name: string) => name === 'small';
	t.true([...planStewards(queues, mixed, () => 'small', isShort).values()].every(name => name === 'large'));
	t.true([...planStewards(queues, mixed.slice(0, 1), noSteward, isShort).values()].every(name => name === 'small'));
	t.is(planStewards(queues, [mixed[0], nodes[2]], noSteward, isShort).get('x'), 'small');
});

// The queue of a shared service with 36 slots counted as much as that of a target with one.
test('queues count by their slots, and by bandwidth where that is scarcer', t => {
	const weighed = [...queues.map(queue => ({...queue, weight: 1})), {
		queueId: 'heavy', domain: 'a', weight: 4, isLarge: true,
	}];
	const plan = planStewards(weighed, nodes, noSteward);
	t.deepEqual(['x', 'y', 'z', 'w'].map(id => plan.get(id) === plan.get('heavy')), [false, false, false, false]);
	const wide = {...node('wide', 'a', 0.5), linkMbps: 200};
	const fast = {...node('fast', 'a', 1), linkMbps: 10};
	t.is(planStewards(weighed, [fast, wide], noSteward).get('heavy'), 'wide');
	t.is(planStewards(weighed, [fast, wide], () => 'fast').get('heavy'), 'wide');
	t.is(planStewards(weighed, [fast, {...wide, linkMbps: 12}], () => 'fast').get('heavy'), 'fast');
});
