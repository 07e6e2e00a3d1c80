/**
 * Plays random rejections by targets that have free capacity, with callers that retry on their own. The retry budget
 * is too small for all rejected requests, and was spent on whichever failed first.
 */
import test from 'ava';
import {
	KeyedService, type CallerCounts, type KeyedServiceCfg, type PlayedRoute,
} from '../mocks/index.js';

type Case = {readonly retries: number; readonly extra: number; readonly routes: readonly PlayedRoute[]};

/** Callers that retry once, and the allowed retries of their deployment. */
const hasty: Case = {
	retries: 1,
	extra: 178,
	routes: [
		{
			name: 'read', perSecond: 120, workMs: 120, spread: 0.5, objectiveMs: 500, timeoutMs: 1200, priority: 2,
		},
		{
			name: 'book', perSecond: 60, workMs: 150, spread: 0.6, objectiveMs: 600, timeoutMs: 1500, priority: 1,
		},
	],
};

/** Callers that retry twice. */
const patient: Case = {
	retries: 2,
	extra: 164,
	routes: [
		{
			name: 'lookup', perSecond: 120, workMs: 100, spread: 0.5, objectiveMs: 400, timeoutMs: 2500, priority: 2,
		},
		{
			name: 'sign-off', perSecond: 60, workMs: 130, spread: 0.5, objectiveMs: 500, timeoutMs: 3000, priority: 1,
		},
	],
};

type Played = {
	/** Shares of the callers of a priority, or of all under `all`. */
	readonly shares: ReadonlyMap<number | 'all', {readonly inTime: number; readonly served: number}>;
	readonly largestUse: number;
};

/** Plays 8.5 s in which targets with free capacity reject a share of the requests, with several seeds. */
function play({retries, extra, routes}: Case, {share, instances, seeds, isSelective}: {share: number; instances: number; seeds: number; isSelective: boolean}): Played {
	const cfg: Omit<KeyedServiceCfg, 'seed'> = {
		durationMs: 10_500, speeds: Array.from({length: 24}, () => 1), slots: 4, noise: {share: 0, factor: 1, windowMs: 400}, skew: 0.4, hotRuns: [], routes, retries,
		rejections: {
			fromMs: 2000, toMs: 10_500, share, instances, ratio: 0.2, extra, windowMs: 10_000, isSelective,
		},
	};
	const sums = new Map<number | 'all', CallerCounts>();
	let largestUse = 0;
	for (let seed = 1; seed <= seeds; seed += 1) {
		const service = new KeyedService({...cfg, seed});
		service.run();
		largestUse = Math.max(largestUse, service.retries!.largestUse());
		for (const [priority, {callers, inTime, served}] of service.retries!.results) {
			for (const key of [priority, 'all'] as const) {
				const sum = sums.get(key) ?? {callers: 0, inTime: 0, served: 0};
				sums.set(key, {callers: sum.callers + callers, inTime: sum.inTime + inTime, served: sum.served + served});
			}
		}
	}

	const shares = [...sums].map(([key, {callers, inTime, served}]) => [key, {inTime: inTime / callers, served: served / callers}] as const);
	return {shares: new Map(shares), largestUse};
}

/** Largest share of callers that a selective budget may cost their objective, or an answer. */
const maxLoss = 0.01;

// Selected requests must not get their retries at the cost of others: neither of a priority nor of all callers.
for (const [name, callers] of Object.entries({hasty, patient})) {
	for (const [share, instances, minGain] of [[0.3, 12, 0], [0.55, 12, 0.015], [0.8, 12, 0], [0.55, 60, -maxLoss]]) {
		test(`retry load: rejections of ${share} at ${instances} instances, ${name} callers`, t => {
			const seeds = 16;
			const before = play(callers, {
				share, instances, seeds, isSelective: false,
			});
			const after = play(callers, {
				share, instances, seeds, isSelective: true,
			});
			for (const [key, {inTime, served}] of before.shares) {
				const now = after.shares.get(key)!;
				t.log(`priority ${key}: in time ${inTime.toFixed(3)}, ${now.inTime.toFixed(3)}; served ${served.toFixed(3)}, ${now.served.toFixed(3)}`);
				t.true(now.inTime >= inTime - maxLoss, `priority ${key}, in time: ${now.inTime} ${inTime}`);
				t.true(now.served >= served - maxLoss, `priority ${key}, served: ${now.served} ${served}`);
			}

			t.true(after.shares.get('all')!.served >= before.shares.get('all')!.served + minGain);
			t.true(after.largestUse <= 1, `${after.largestUse}`);
		});
	}
}
