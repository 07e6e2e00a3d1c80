import test from 'ava';
import {TargetPhase, type TargetInfo} from '@bluebellyard/core';
import {usableOwners, type TargetMetrics} from './usable-owners.js';

function target(id: string, domain: string): TargetInfo {
	return {
		id, name: id, service: 's', addr: '10.0.0.1:1', domain, slots: 4, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
	};
}

const targets = [target('a1', 'a'), target('a2', 'a'), target('a3', 'a'), target('b1', 'b')];

function facts(changes: Partial<TargetMetrics>): TargetMetrics {
	return {
		silentMs: () => 0, slowness: () => 1, coldLeftMs: () => 0, ...changes,
	};
}

test('a single silent target of a domain loses its keys', t => {
	const owners = usableOwners(targets, facts({silentMs: id => id === 'a1' ? 2000 : 0}));
	t.deepEqual(owners.map(({id}) => id), ['a2', 'a3', 'b1']);
});

test('a domain that is silent as a whole is cut off and keeps its keys', t => {
	t.is(usableOwners(targets, facts({silentMs: id => id.startsWith('a') ? 2000 : 0})).length, 4);
});

test('slow and cold targets bear less', t => {
	const [slow, cold] = usableOwners(targets, facts({slowness: id => id === 'a1' ? 2 : 1, coldLeftMs: id => id === 'a2' ? 1000 : 0}));
	t.is(slow.capacity, 2);
	t.true(cold.capacity < 2);
});
