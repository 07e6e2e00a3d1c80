/**
 * Plays one queue in front of three targets of unequal speed on noisy machines, and reports how even their load is.
 */
import test from 'ava';
import {KeyedService} from '../mocks/index.js';

const speeds = [0.7, 0.7, 1.7];
const slots = 2;
const workMs = 150;
const noise = {share: 0.2, factor: 3, windowMs: 400};

/** Work that is done per millisecond at full load, in milliseconds. */
const capacity = speeds.reduce((sum, speed) => sum + speed, 0) * slots * (1 - noise.share + (noise.share / noise.factor));

for (const load of [0.4, 0.7, 0.9]) {
	// A slow target that is preferred while a fast one is idle, or a fast one that gets all, shows in these shares.
	test(`load: each of three unequal targets gets work and the fast one most of it, load ${load}`, t => {
		const service = new KeyedService({
			seed: 1,
			durationMs: 60_000,
			speeds,
			slots,
			noise,
			routes: [{
				name: 'read', perSecond: load * capacity / workMs * 1000, workMs, spread: 0.5, objectiveMs: 500, timeoutMs: 2500, priority: 1,
			}],
			skew: 0,
			hotRuns: [],
			retries: 1,
			isPooled: true,
		});
		const {inTime, unserved} = service.run();
		const use = service.targetUse();
		t.log(`in time ${inTime.toFixed(3)}, unserved ${unserved.toFixed(3)}`);
		for (const {speed, requestShare, busyShare} of use) {
			t.log(`speed ${speed}: ${requestShare.toFixed(3)} of the requests, busy ${busyShare.toFixed(3)}`);
		}

		const fast = use[2].requestShare;
		t.true(use.every(({requestShare}) => requestShare > 0));
		t.true(use.slice(0, 2).every(({requestShare}) => requestShare < fast));
	});
}
