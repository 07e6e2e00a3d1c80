import test from 'ava';
import {RecentRefusals} from './recent-refusals.js';

const left = {objectiveMs: 400, deadlineMs: 2000};

test('a recent refusal applies to requests with no more time left', t => {
	const refusals = new RecentRefusals();
	refusals.record('d', {route: 'r'}, left, {now: 1000, retryAfterMs: 300});
	t.is(refusals.retryAfterMs('d', {route: 'r'}, left, 1040), 260);
	t.is(refusals.retryAfterMs('d', {route: 'r'}, {...left, objectiveMs: 100}, 1040), 260);
	t.is(refusals.retryAfterMs('d', {route: 'r'}, left, 1100), undefined);
});

test('a refusal does not apply to requests with more time, of other routes or for other queues', t => {
	const refusals = new RecentRefusals();
	refusals.record('d', {route: 'r'}, {objectiveMs: -50, deadlineMs: 500}, {now: 1000, retryAfterMs: 300});
	t.is(refusals.retryAfterMs('d', {route: 'r'}, left, 1010), undefined);
	t.is(refusals.retryAfterMs('d', {route: 'other'}, {objectiveMs: -50, deadlineMs: 500}, 1010), undefined);
	t.is(refusals.retryAfterMs('other', {route: 'r'}, {objectiveMs: -50, deadlineMs: 500}, 1010), undefined);
});

// Requests of one team would be refused because another one sends too many, or is less urgent.
test('a refusal does not apply to requests of another team', t => {
	const refusals = new RecentRefusals();
	refusals.record('d', {route: 'r', team: 'flood'}, left, {now: 1000, retryAfterMs: 300});
	t.is(refusals.retryAfterMs('d', {route: 'r', team: 'flood'}, left, 1010), 290);
	t.is(refusals.retryAfterMs('d', {route: 'r', team: 'calm'}, left, 1010), undefined);
	t.is(refusals.retryAfterMs('d', {route: 'r'}, left, 1010), undefined);
});

test('load: few requests of a burst on one target are forwarded', t => {
	const refusals = new RecentRefusals();
	let sent = 0;
	for (let now = 0; now < 2000; now += 10) {
		if (refusals.retryAfterMs('d', {route: 'r'}, left, now) === undefined) {
			sent += 1;
			refusals.record('d', {route: 'r'}, left, {now, retryAfterMs: 300});
		}
	}

	t.is(sent, 20);
});
