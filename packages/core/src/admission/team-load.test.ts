/** Plays a queue at full load that several teams share, one of which sends many times its usual load. */
import test from 'ava';
import {playTeamQueue} from '../mocks/index.js';
import {AdmissionQueue} from './admission-queue.js';
import type {QueuedRequest} from './queued-request.js';
import {AttemptOutcome} from './target-limiter.js';

/** Share of its served requests that a team may lose by the flood of another one. */
const maxLoss = 0.03;

const floodFactor = 7.5;
const names = ['a', 'b', 'c', 'd', 'e', 'f'];

/** Eight slots can do 80 requests a second; six teams together send the given share of that. */
function play(seed: number, {load, isFlood, hasTeams}: {load: number; isFlood: boolean; hasTeams: boolean}): Map<string, number> {
	return playTeamQueue({
		seed,
		teams: names.map(name => ({name, perSecond: 80 * load / names.length * (isFlood && name === 'a' ? floodFactor : 1)})),
		slots: 8,
		workMs: 100,
		objectiveMs: 400,
		timeoutMs: 2500,
		durationMs: 20_000,
		hasTeams,
	});
}

/** Returns the largest loss of a team other than the flooding one, as the mean of four seeds. */
function largestLoss(load: number, hasTeams: boolean): number {
	const plays = [1, 2, 3, 4].map(seed => ({
		calm: play(seed, {load, hasTeams, isFlood: false}), flooded: play(seed, {load, hasTeams, isFlood: true}),
	}));
	const losses = names.slice(1).map(name => plays.reduce((sum, {calm, flooded}) => sum + ((calm.get(name)! - flooded.get(name)!) / plays.length), 0));
	return Math.max(...losses);
}

// Without an order between teams a flood of one takes most of the queue.
test('team load: at 0.9 of the capacity a flood of one team costs no other team its share', t => {
	const loss = largestLoss(0.9, true);
	t.true(loss <= maxLoss, `${loss}`);
	t.true(largestLoss(0.9, false) > 0.2);
});

// At full load each team has no more than its part of the capacity when one of them takes its own.
test('team load: at full load a flood of one team costs no other team its share', t => {
	const loss = largestLoss(1, true);
	t.true(loss <= maxLoss, `${loss}`);
});

/** Returns the ids in the order of their start, on a target with one slot. */
function startOrder(requests: readonly QueuedRequest[]): string[] {
	const queue = new AdmissionQueue();
	const limiter = queue.setTarget({id: 't', slots: 1, coldRate: 1000});
	const started: string[] = [];
	for (const request of requests) {
		started.push(...queue.offer(request, 0).starts.map(start => start.request.id));
	}

	for (let now = 10; queue.queued > 0; now += 10) {
		started.push(...queue.finish(limiter, AttemptOutcome.Answered, 1, now).starts.map(start => start.request.id));
	}

	return started;
}

function request(id: string, objectiveAt: number, team?: string): QueuedRequest {
	return {
		id, priority: 1, objectiveAt, deadline: 60_000, workMs: 10, ...(team !== undefined && {team}),
	};
}

// Deployments without teams, and public routes beside teams, must be served as before.
test('team load: requests without a team keep their order by objective', t => {
	const objectives = [5000, 9000, 3000, 7000, 4000, 8000, 2000, 6000];
	const plain = objectives.map((objectiveAt, i) => request(`p${i}`, objectiveAt));
	const expected = ['p0', 'p6', 'p2', 'p4', 'p7', 'p3', 'p5', 'p1'];
	t.deepEqual(startOrder(plain), expected);
	const mixed = plain.flatMap((item, i) => [item, request(`x${i}`, 1000, 'x'), request(`y${i}`, 10_000, 'y')]);
	t.deepEqual(startOrder(mixed).filter(id => id.startsWith('p')), expected);
});

// A team that sends first must not delay the others by all that it has sent.
test('team load: teams take turns', t => {
	const order = startOrder([...Array.from({length: 8}, (_, i) => request(`x${i}`, 1000, 'x')), request('y0', 2000, 'y'), request('y1', 2000, 'y')]);
	t.true(order.indexOf('y0') <= 2, `started: ${order.join(' ')}`);
	t.true(order.indexOf('y1') <= 4, `started: ${order.join(' ')}`);
});

// A team that was idle must not stop the others for as long as it likes when it begins to flood.
test('team load: a flood of a team that was idle delays the others by no more than its credit', t => {
	const queue = new AdmissionQueue();
	const limiter = queue.setTarget({id: 't', slots: 1, coldRate: 1000});
	let now = 0;
	const finish = () => {
		now += 10;
		return queue.finish(limiter, AttemptOutcome.Answered, 1, now).starts.map(start => start.request.id);
	};

	for (let i = 0; i < 200; i += 1) {
		queue.offer(request(`y${i}`, 60_000, 'y'), now);
		finish();
	}

	const order: string[] = [];
	for (let i = 0; i < 100; i += 1) {
		order.push(...queue.offer(request(`x${i}`, 60_000, 'x'), now).starts.map(start => start.request.id));
		queue.offer(request(`z${i}`, 60_000, 'y'), now);
	}

	while (queue.queued > 0) {
		order.push(...finish());
	}

	// The target does 25 requests in the 250 ms of the credit.
	const first = order.findIndex(id => id.startsWith('z'));
	t.true(first > 0 && first <= 26, `started: ${order.join(' ')}`);
});
