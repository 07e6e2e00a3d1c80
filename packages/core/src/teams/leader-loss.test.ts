/** What a team below its limit gets when the leader is lost: the instances' own permits, and the first ceilings of the next leader. */
import test from 'ava';
import {AllowanceController} from './allowance-controller.js';
import {IsolatedAllowance} from './isolated-allowance.js';
import type {Team} from './team.js';

const team: Team = {name: 'a', ratePerSecond: 40, burst: 40};
const names = ['i0', 'i1', 'i2', 'i3', 'i4'];

function report(controller: AllowanceController, instances: readonly string[], now: number): void {
	for (const name of instances) {
		controller.record(name, '1', {seq: 1, isFull: true, uses: [[team.name, 10, 5]]}, now);
	}
}

// Instances that were not heard yet counted as silent, and all others got a ceiling of 0.
test('leader loss: no ceiling before the first reports are in', t => {
	const controller = new AllowanceController([], 0);
	report(controller, names.slice(0, 1), 0);
	t.deepEqual(controller.tick([team], names, 0), []);
	report(controller, names.slice(1, 4), 50);
	for (const [, ceiling] of controller.tick([team], names, 100)) {
		t.true(ceiling > 1, `${ceiling}`);
	}
});

// Instances that never answer must not keep the leader from limiting a flood.
test('leader loss: a ceiling from 300 ms on although instances are not heard', t => {
	const controller = new AllowanceController([], 0);
	report(controller, names.slice(0, 1), 0);
	t.deepEqual(controller.tick([team], names, 299), []);
	t.is(controller.tick([team], names, 300).length, 1);
});

// With one permit in each period, the second of two requests at once was rejected.
test('leader loss: several requests at once are admitted, within the bound of the window', t => {
	const isolated = new IsolatedAllowance(0, 0);
	let atOnce = 0;
	let total = 0;
	for (let now = 0; now < 5000; now += 10) {
		while (isolated.take(team, 8, now) === 0) {
			isolated.record(1, now);
			total += 1;
			atOnce += now === 0 ? 1 : 0;
		}
	}

	t.is(atOnce, 6);
	t.is(total, 22);
});
