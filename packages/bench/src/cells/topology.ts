import {TargetKind} from '@bluebellyard/standins';
import type {Topology} from '../deployment/index.js';
import type {PlanOptions} from '../load/index.js';

const keyCount = 200;

/** Returns the rules file of the cells; `note` is put into a comment to make texts distinct. */
export function cellRules(note: string): string {
	return [
		`pool tickets keyed shards=32 slots=4 queue=64 fenced=yes timeout=2s  # ${note}`,
		'route GET /tickets/{key} tickets  # cells',
		'route POST /tickets/{key}/close tickets once  # cells',
		'',
	].join('\n');
}

/** Two failure domains with two instances and two keyed targets each. */
export const cellTopology: Topology = {
	domains: ['north', 'south'],
	instancesPerDomain: 2,
	pools: [{
		name: 'tickets', targets: 4, options: {
			kind: TargetKind.Keyed, slots: 4, serviceMs: 3, coldRequests: 20,
		},
	}],
	rules: cellRules('cells'),
	// The starts and stops of the instances stand in the logs of a failed cell.
	settings: {log: {level: 'info'}},
	hasJournals: true,
};

/** Load of the cells. Half of all requests must run at most once. */
export const cellPlan: PlanOptions = {
	routes: [
		{
			weight: 1, method: 'GET', path: '/tickets/{key}', isOnce: false, bodyBytes: 0,
		},
		{
			weight: 1, method: 'POST', path: '/tickets/{key}/close', isOnce: true, bodyBytes: 100,
		},
	],
	keys: {count: keyCount, exponent: 0.5, shiftMs: 0},
	callers: 10,
};

/** Paths of keys that a settled deployment answers. */
export const cellProbePaths: readonly string[] = Array.from({length: keyCount / 2}, (_, i) => `/tickets/k${i}`);
