import test from 'ava';
import {PlanSchedule} from './plan-schedule.js';

const need = {
	ownerCount: 2, isFirstAssignment: false, hasUnusableOwner: false, detectsSurges: false,
};

// The loads that a new leader knows of before all instances have reported are wrong, and it moved keys by them.
test('a new leader does not balance load before all instances have reported', t => {
	const schedule = new PlanSchedule();
	for (let now = 0; now < 1000; now += 100) {
		t.false(schedule.tryStart(need, now));
	}

	t.true(schedule.tryStart(need, 1000));
	t.false(schedule.tryStart(need, 1400));
	t.true(schedule.tryStart(need, 1500));
});

test('a new leader assigns keys without a usable owner at once', t => {
	t.true(new PlanSchedule().tryStart({...need, hasUnusableOwner: true}, 0));
});
