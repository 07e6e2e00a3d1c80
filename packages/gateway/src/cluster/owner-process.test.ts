import test from 'ava';
import {TargetPhase, type TargetInfo} from '@bluebellyard/core';
import {findOwnerProcess, OwnerProcess} from './owner-process.js';

function target(name: string, addr: string, bornAt: number): TargetInfo {
	return {
		id: `${name}@${bornAt}`, name, service: 's', addr, domain: 'x', slots: 2, phase: TargetPhase.Ready, bornAt, coldLeftMs: 0,
	};
}

const owner = target('a', '10.0.0.1:1', 100);

/** Returns what targets, in the order of their first sight, tell of an owner whose own record is gone. */
function findProcess(...seen: readonly TargetInfo[]): OwnerProcess {
	return findOwnerProcess(owner.id, new Map(seen.map(row => [row.id, row])), new Set());
}

test('a later incarnation at the same address has replaced the owner and accepts its grants', t => {
	t.is(findProcess(owner, target('a', '10.0.0.1:1', 200)), OwnerProcess.Restarted);
	t.is(findProcess(owner, target('a', '10.0.0.2:1', 300), target('a', '10.0.0.1:1', 200)), OwnerProcess.Restarted);
});

test('nobody accepts the grants of an owner whose name or address is used elsewhere', t => {
	t.is(findProcess(owner, target('a', '10.0.0.2:1', 200)), OwnerProcess.Ended);
	t.is(findProcess(owner, target('b', '10.0.0.1:1', 200)), OwnerProcess.Ended);
});

test('other targets and unknown owners say nothing', t => {
	t.is(findProcess(owner, target('b', '10.0.0.2:1', 200), target('a', '10.0.0.1:1', 50)), OwnerProcess.Running);
	t.is(findProcess(target('a', '10.0.0.1:1', 200)), OwnerProcess.Running);
	const undated = target('a', '10.0.0.1:1', 0);
	t.is(findOwnerProcess(undated.id, new Map([[undated.id, undated], ['later', target('a', '10.0.0.1:1', 200)]]), new Set()), OwnerProcess.Running);
});

test('an earlier process with a later start time does not end the owner', t => {
	t.is(findProcess(target('a', '10.0.0.1:1', 200), owner), OwnerProcess.Running);
	t.is(findProcess(target('b', '10.0.0.1:1', 200), owner), OwnerProcess.Running);
});

// Guards against two owners: keys were granted to others while their owner, at whose address a record named another target, still held them.
test('an owner with a record of its own has not ended because another record has its address', t => {
	const other = target('b', '10.0.0.1:1', 200);
	const seen = new Map([owner, other].map(row => [row.id, row]));
	t.is(findOwnerProcess(owner.id, seen, seen), OwnerProcess.Running);
	t.is(findOwnerProcess(owner.id, seen, new Set([other.id])), OwnerProcess.Ended);
	const successor = target('a', '10.0.0.2:1', 300);
	t.is(findOwnerProcess(owner.id, new Map([owner, successor].map(row => [row.id, row])), new Set([successor.id])), OwnerProcess.Ended);
});
