/**
 * Plays 69 instances in 3 domains in front of 198 targets, with demand that moves from domain to domain and information
 * that is 50 to 400 ms old. The selection by two choices is compared with the one by the lowest observed wait.
 */
import test from 'ava';
import {DomainLoad, type DomainLoadCfg, type DomainLoadResult} from '../mocks/index.js';
import {BalancedSelector} from './balanced-selector.js';
import type {DomainSelector} from './domain-selector.js';
import {OwnDomainSelector} from './own-domain-selector.js';

const cfg: Omit<DomainLoadCfg, 'seed' | 'load' | 'createSelector'> = {
	durationMs: 9000,
	domains: 3,
	instances: 69,
	speeds: Array.from({length: 66}, (_, i) => [0.7, 1, 1, 1.3][i % 4]),
	slots: 2,
	workMs: 200,
	spread: 0.5,
	objectiveMs: 600,
	timeoutMs: 2500,
	demands: [1.6, 1.2, 1.4, 1],
	turnMs: 1500,
	informationAgeMs: [50, 400],
	transitMs: [2, 30],
};

function play(createSelector: () => DomainSelector, played: {seed: number; load: number}): DomainLoadResult {
	return new DomainLoad({...cfg, ...played, createSelector}).run();
}

function describe(name: string, result: DomainLoadResult): string {
	return `${name}: ${Object.entries(result).map(([key, share]) => `${key} ${share.toFixed(4)}`).join(', ')}`;
}

// With stale information all instances moved their requests to the same domain at the same moment; it was overloaded while
// another one had room. Even load means that at most half of that time and of the late requests is left.
// At a load of 0.95 the better one of two drawn domains does not achieve this.
for (const played of [{seed: 1, load: 0.9}, {seed: 2, load: 0.9}, {seed: 1, load: 0.95}]) {
	test(`load: queues are overloaded beside ones with room for at most half of the time, load ${played.load}, seed ${played.seed}`, t => {
		const before = play(() => new OwnDomainSelector(), played);
		const after = play(() => new BalancedSelector(), played);
		t.log(describe('own-domain', before));
		t.log(describe('two-choices', after));
		t.true(before.uneven > 0, 'the load does not show the failure');
		t.true(after.uneven <= before.uneven / 2, `${after.uneven} ${before.uneven}`);
		t.true(1 - after.inTime <= (1 - before.inTime) / 2, `${after.inTime} ${before.inTime}`);
	});
}
