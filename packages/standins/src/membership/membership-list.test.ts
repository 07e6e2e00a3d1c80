import test from 'ava';
import {ManualClock} from '@bluebellyard/core';
import {call} from '../host/index.js';
import {MemberRole, MemberState, type Member} from './member.js';
import {MembershipList, type MembershipFaults} from './membership-list.js';

const member = (name: string, state = MemberState.Live): Member => ({
	role: MemberRole.Target, name, domain: 'd1', pool: 'p', addr: '127.0.0.1:1', state,
});

const faultCases: Array<{name: string; faults: Partial<MembershipFaults>; seen: Member[]}> = [
	{name: 'none', faults: {}, seen: [member('a', MemberState.Leaving), member('b')]},
	{name: 'lag', faults: {lagMs: 500}, seen: [member('a')]},
	{name: 'stale', faults: {stale: true}, seen: [member('a')]},
	{name: 'wrong entry', faults: {wrong: [member('b', MemberState.Leaving)]}, seen: [member('a', MemberState.Leaving), member('b', MemberState.Leaving)]},
	{name: 'invented entry', faults: {wrong: [member('c')]}, seen: [member('a', MemberState.Leaving), member('b'), member('c')]},
	{name: 'hidden entry', faults: {hidden: ['a']}, seen: [member('b')]},
];

for (const {name, faults, seen} of faultCases) {
	test(`list under fault: ${name}`, async t => {
		const clock = new ManualClock();
		const list = new MembershipList({clock});
		await list.start();
		list.put(member('a'));
		clock.advance(1000);
		await list.setFaults(faults);
		await call(list.addr, '/members/a', {method: 'PUT', body: member('', MemberState.Leaving)});
		await call(list.addr, '/members/b', {method: 'PUT', body: member('b')});
		await call(list.addr, '/members/x', {method: 'PUT', body: member('x')});
		await call(list.addr, '/members/x', {method: 'DELETE'});
		const answer = await call(list.addr, '/members');
		t.deepEqual(answer.json(), {members: seen});
		await list.stop();
	});
}

test('a change is visible after the lag', t => {
	const clock = new ManualClock();
	const list = new MembershipList({clock, lagMs: 500});
	list.put(member('a'));
	clock.advance(499);
	t.is(list.members.length, 0);
	clock.advance(1);
	t.is(list.members.length, 1);
});

test('a malformed entry is rejected', async t => {
	const list = new MembershipList();
	await list.start();
	const answer = await call(list.addr, '/members/a', {method: 'PUT', body: {role: 'king'}});
	t.is(answer.status, 400);
	t.is(list.members.length, 0);
	await list.stop();
});
