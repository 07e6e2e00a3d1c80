import test from 'ava';
import {TargetPhase, type TargetInfo} from '@bluebellyard/core';
import {findOwnerProcess, OwnerProcess} from './owner-process.js';

function target(name: string, addr: string, bornAt: number): TargetInfo {
	return {
		id: `${name}@${bornAt}`, name, service: 's', addr, domain: 'x', slots: 2, phase: TargetPhase.Ready, bornAt, coldLeftMs: 0,
	};
}

const owner = target('a', '10.0.0.1:1', 100);

test('a later incarnation at the same address has replaced the owner and accepts its grants', t => {
	t.is(findOwnerProcess(owner, [owner, target('a', '10.0.0.1:1', 200)]), OwnerProcess.Restarted);
	t.is(findOwnerProcess(owner, [target('a', '10.0.0.2:1', 300), target('a', '10.0.0.1:1', 200)]), OwnerProcess.Restarted);
});

test('nobody accepts the grants of an owner whose name or address is used elsewhere', t => {
	t.is(findOwnerProcess(owner, [target('a', '10.0.0.2:1', 200)]), OwnerProcess.Ended);
	t.is(findOwnerProcess(owner, [target('b', '10.0.0.1:1', 200)]), OwnerProcess.Ended);
});

test('other targets and earlier incarnations say nothing of an owner', t => {
	t.is(findOwnerProcess(owner, [owner, target('b', '10.0.0.2:1', 200), target('a', '10.0.0.1:1', 50)]), OwnerProcess.Running);
	t.is(findOwnerProcess(undefined, [target('a', '10.0.0.1:1', 200)]), OwnerProcess.Running);
	t.is(findOwnerProcess(target('a', '10.0.0.1:1', 0), [target('a', '10.0.0.1:1', 200)]), OwnerProcess.Running);
});
