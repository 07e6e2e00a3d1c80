import test from 'ava';
import {LocalAdmission, type LocalRequest} from './local-admission.js';

function request(rest: Partial<LocalRequest> = {}): LocalRequest {
	return {
		priority: 1, objectiveLeftMs: 700, timeLeftMs: 2000, workMs: 100, ...rest,
	};
}

/** Returns the shortest delay at which a request is rejected, in milliseconds. */
function findBound(admission: LocalAdmission, req: LocalRequest, now: number): number {
	let delayMs = 0;
	while (admission.check(req, delayMs, now) === undefined) {
		delayMs += 1;
	}

	return delayMs;
}

test('requests are admitted while there is no delay, whatever time they have left', t => {
	const admission = new LocalAdmission();
	t.is(admission.check(request({timeLeftMs: 10, objectiveLeftMs: -500}), 20, 0), undefined);
});

// Such a request would end as 504 after it had taken CPU time and a slot of a target.
test('a request that cannot be answered before its deadline is rejected', t => {
	const admission = new LocalAdmission();
	t.is(admission.check(request({timeLeftMs: 220}), 60, 0), undefined);
	t.not(admission.check(request({timeLeftMs: 219}), 60, 0), undefined);
});

test('urgent requests are admitted up to a greater delay, in steps', t => {
	const admission = new LocalAdmission();
	for (const priority of [0, 1, 2]) {
		admission.check(request({priority}), 0, 0);
	}

	t.is(findBound(admission, request({priority: 0}), 0), 200);
	t.is(findBound(admission, request({priority: 1}), 0), 150);
	t.is(findBound(admission, request({priority: 2}), 0), 100);
});

test('a priority that was not seen for 10 s does not count', t => {
	const admission = new LocalAdmission();
	admission.check(request({priority: 0}), 0, 0);
	t.is(findBound(admission, request({priority: 1}), 10_000), 100);
	t.is(findBound(admission, request({priority: 1}), 10_001), 200);
});

// A request whose objective has nearly passed takes CPU time from others that can still be answered within theirs.
test('a caller that comes back late is rejected before others', t => {
	const admission = new LocalAdmission();
	t.is(findBound(admission, request({objectiveLeftMs: 400}), 0), 100);
	t.is(findBound(admission, request({objectiveLeftMs: -100}), 0), 50);
});

test('a rejected caller is told a time between 200 ms and a third of its remaining time', t => {
	const admission = new LocalAdmission();
	const retryAfterMs = (timeLeftMs: number, delayMs: number) => admission.check(request({timeLeftMs, objectiveLeftMs: 0}), delayMs, 0)?.retryAfterMs;
	t.is(retryAfterMs(2000, 100), 200);
	t.is(retryAfterMs(2000, 450), 450);
	t.is(retryAfterMs(900, 450), 300);
	t.is(retryAfterMs(-5, 450), 0);
});

// An urgent route with a short objective has a smaller bound than a less urgent one with a long objective.
test('an urgent priority is not starved while less urgent requests are admitted', t => {
	const admission = new LocalAdmission();
	let admitted = 0;
	for (let now = 0; now < 10_000; now += 10) {
		t.is(admission.check(request({priority: 2, objectiveLeftMs: 4000, timeLeftMs: 9000}), 200, now), undefined);
		admitted += admission.check(request({priority: 0, objectiveLeftMs: 300}), 200, now) === undefined ? 1 : 0;
	}

	t.true(admitted >= 250 && admitted < 300, `${admitted}`);
});

test('the least urgent priority has no guaranteed share', t => {
	const admission = new LocalAdmission();
	for (let now = 0; now < 1000; now += 10) {
		admission.check(request({priority: 0}), 150, now);
		t.not(admission.check(request({priority: 2}), 150, now), undefined);
	}
});
