import test from 'ava';
import {TargetPhase, type TargetInfo} from '@bluebellyard/core';
import {findUsableOwners, type TargetMetrics} from './usable-owners.js';

function target(id: string, domain: string): TargetInfo {
	return {
		id, name: id, service: 's', addr: '10.0.0.1:1', domain, slots: 4, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
	};
}

const targets = [target('a1', 'a'), target('a2', 'a'), target('a3', 'a'), target('b1', 'b')];

function metrics(changes: Partial<TargetMetrics>): TargetMetrics {
	return {
		silentMs: () => 0, slowness: () => 1, coldLeftMs: () => 0, limitedSlots: () => Number.POSITIVE_INFINITY, ...changes,
	};
}

test('a single unresponsive target of a domain loses its keys', t => {
	const owners = findUsableOwners(targets, metrics({silentMs: id => id === 'a1' ? 2000 : 0}));
	t.deepEqual(owners.map(({id}) => id), ['a2', 'a3', 'b1']);
});

test('targets of a domain that is unreachable as a whole keep their keys', t => {
	t.is(findUsableOwners(targets, metrics({silentMs: id => id.startsWith('a') ? 2000 : 0})).length, 4);
});

test('slow and cold targets have less capacity', t => {
	const [slow, cold] = findUsableOwners(targets, metrics({slowness: id => id === 'a1' ? 2 : 1, coldLeftMs: id => id === 'a2' ? 1000 : 0}));
	t.is(slow.capacity, 2);
	t.true(cold.capacity < 2);
});

test('a target that names a limit has no more capacity than that', t => {
	const [limited, other] = findUsableOwners(targets, metrics({limitedSlots: id => id === 'a1' ? 0.3 : Number.POSITIVE_INFINITY}));
	t.is(limited.capacity, 0.3);
	t.is(other.capacity, 4);
});
