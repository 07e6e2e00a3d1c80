/**
 * Plays the load of sharded services: busy keys beside one another, runs of keys that become hot, noisy machines, two or
 * four slots a target. What callers get is compared with what they would get if any target could serve any request.
 */
import test from 'ava';
import {
	KeyedService, type HotRun, type KeyedServiceCfg, type KeyedServiceResult,
} from '../mocks/index.js';

const hotRuns: HotRun[] = [
	{
		fromMs: 2100, toMs: 7100, share: 0.35, firstKey: 32_000, keys: 200,
	},
	{
		fromMs: 7600, toMs: 11_600, share: 0.35, firstKey: 50_000, keys: 200,
	},
];
const speeds = Array.from({length: 24}, (_, i) => [0.5, 1, 1, 1.5][i % 4]);

/** Deadlines are five times the objectives or more, and callers come back twice. */
const patient: Omit<KeyedServiceCfg, 'seed'> = {
	durationMs: 20_000,
	speeds,
	slots: 4,
	noise: {share: 0.2, factor: 3, windowMs: 400},
	routes: [
		{
			name: 'lookup', perSecond: 230, workMs: 120, spread: 0.5, objectiveMs: 400, timeoutMs: 2500, priority: 2,
		},
		{
			name: 'sign-off', perSecond: 75, workMs: 160, spread: 0.5, objectiveMs: 500, timeoutMs: 3000, priority: 1,
		},
	],
	skew: 0.63,
	hotRuns,
	retries: 2,
};

/** Deadlines are about twice the objectives, and callers come back once. */
const hasty: Omit<KeyedServiceCfg, 'seed'> = {
	...patient,
	slots: 2,
	routes: [
		{
			name: 'read', perSecond: 80, workMs: 160, spread: 0.5, objectiveMs: 500, timeoutMs: 1200, priority: 2,
		},
		{
			name: 'book', perSecond: 34, workMs: 210, spread: 0.8, objectiveMs: 600, timeoutMs: 1500, priority: 1,
		},
	],
	retries: 1,
};

/** Targets of very different speed with room for three times the load, until a run of keys needs several targets at once. */
const uneven: Omit<KeyedServiceCfg, 'seed'> = {
	...patient,
	durationMs: 16_000,
	speeds: Array.from({length: 34}, (_, i) => [0.7, 0.7, 1.7][i % 3]),
	slots: 6,
	routes: [
		{
			name: 'check', perSecond: 190, workMs: 190, spread: 0.3, objectiveMs: 850, timeoutMs: 1200, priority: 2,
		},
		{
			name: 'confirm', perSecond: 88, workMs: 250, spread: 0.8, objectiveMs: 1050, timeoutMs: 1500, priority: 1,
		},
	],
	skew: 0.38,
	hotRuns: [
		{
			fromMs: 3400, toMs: 8400, share: 0.38, firstKey: 32_000, keys: 200,
		},
		{
			fromMs: 8900, toMs: 12_900, share: 0.38, firstKey: 50_000, keys: 200,
		},
	],
	retries: 1,
};

/** Largest share of callers that a service with enough capacity may leave unserved beyond those that no placement could serve. */
const maxUnservedShare = 0.01;

/** Largest share of the callers that come back and may be refused again. */
const maxRefusedAgainShare = 0.1;

/** Largest share of callers that reservations may cost their objective, or an answer. */
const maxReservationCost = 0.01;

/** Returns the mean results of four seeds. */
function play(cfg: Omit<KeyedServiceCfg, 'seed'>): KeyedServiceResult {
	const results = [1, 2, 3, 4].map(seed => new KeyedService({...cfg, seed}).run());
	const mean = (pick: (result: KeyedServiceResult) => number) => results.reduce((sum, result) => sum + pick(result), 0) / results.length;
	return {
		inTime: mean(({inTime}) => inTime),
		late: mean(({late}) => late),
		unserved: mean(({unserved}) => unserved),
		refusedAgain: mean(({refusedAgain}) => refusedAgain),
		moves: mean(({moves}) => moves),
		busiestToMean: mean(({busiestToMean}) => busiestToMean),
	};
}

// Late requests were refused while half of their time was left, although they could still be served.
test('load: callers with time left are served late rather than refused', t => {
	const {unserved} = play(patient);
	const bound = play({...patient, isPooled: true});
	t.true(unserved <= bound.unserved + maxUnservedShare, `${unserved} ${bound.unserved}`);
});

// In a queue of one target there is often no room before the deadline; the callers come back all the same.
test('load: callers that come back are rarely refused again', t => {
	const {refusedAgain} = play(hasty);
	t.true(refusedAgain <= maxRefusedAgainShare, `${refusedAgain}`);
});

test('load: with reservations, callers that come back are rarely refused again', t => {
	const {refusedAgain} = play({...hasty, reservations: true});
	t.true(refusedAgain <= maxRefusedAgainShare, `${refusedAgain}`);
});

// Capacity that is kept for callers that come back is taken from others.
for (const [name, cfg] of Object.entries({
	patient, hasty, uneven, surge: {...uneven, detectsSurges: true}, calm: {...uneven, hotRuns: []}, 'calm surge': {...uneven, hotRuns: [], detectsSurges: true},
})) {
	test(`load: reservations cost few callers their objective or an answer, ${name}`, t => {
		const off = play(cfg);
		const on = play({...cfg, reservations: true});
		t.true(on.inTime >= off.inTime - maxReservationCost, `${on.inTime} ${off.inTime}`);
		t.true(on.unserved <= off.unserved + maxReservationCost, `${on.unserved} ${off.unserved}`);
		t.true(on.refusedAgain < off.refusedAgain, `${on.refusedAgain} ${off.refusedAgain}`);
	});
}

// Load is measured over more than a second, so that a run of keys that became hot filled the queue of one target first.
test('load: fewer callers are unserved if keys leave a surge at once', t => {
	const usual = play(uneven);
	const surge = play({...uneven, detectsSurges: true});
	t.true(surge.unserved <= usual.unserved * 0.75, `${surge.unserved} ${usual.unserved}`);
	t.true(surge.refusedAgain < usual.refusedAgain, `${surge.refusedAgain} ${usual.refusedAgain}`);
	t.true(surge.moves <= usual.moves * 2, `${surge.moves} ${usual.moves}`);
});

// Random clusters of requests must not move keys back and forth.
test('load: hardly more keys move without a surge', t => {
	const calm = {...uneven, hotRuns: []};
	const usual = play(calm);
	const surge = play({...calm, detectsSurges: true});
	t.true(surge.moves <= usual.moves * 1.5, `${surge.moves} ${usual.moves}`);
	t.true(surge.unserved <= usual.unserved + maxUnservedShare, `${surge.unserved} ${usual.unserved}`);
});
