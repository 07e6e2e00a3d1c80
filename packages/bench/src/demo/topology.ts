import {TargetKind} from '@bluebellyard/standins';
import type {Topology} from '../deployment/index.js';
import type {PlanOptions} from '../load/index.js';

const target = {
	slots: 4, serviceMs: 5, coldRequests: 20, payloadBytes: 512,
};

/** Three failure domains with two instances each, a keyed and a shared pool. */
export const demoTopology: Topology = {
	domains: ['north', 'middle', 'south'],
	instancesPerDomain: 2,
	pools: [
		{name: 'tickets', targets: 6, options: {...target, kind: TargetKind.Keyed}},
		{name: 'parts', targets: 3, options: {...target, kind: TargetKind.Shared}},
	],
	rules: [
		'pool tickets keyed shards=64 slots=4 queue=64 fenced=yes timeout=5s  # demo',
		'pool parts shared slots=4 queue=64 timeout=5s  # demo',
		'route GET /tickets/{key} tickets  # demo',
		'route POST /tickets/{key}/close tickets once  # demo',
		'route GET /parts/{key} parts  # demo',
		'',
	].join('\n'),
	hasJournals: true,
};

/** Lookups, closes that must run at most once, and questions to the shared pool. */
export const demoPlan: PlanOptions = {
	routes: [
		{
			weight: 5, method: 'GET', path: '/tickets/{key}', isOnce: false, bodyBytes: 0,
		},
		{
			weight: 2, method: 'POST', path: '/tickets/{key}/close', isOnce: true, bodyBytes: 200,
		},
		{
			weight: 3, method: 'GET', path: '/parts/{key}', isOnce: false, bodyBytes: 0,
		},
	],
	keys: {count: 2000, exponent: 0.9, shiftMs: 4000},
	callers: 20,
};

/** Paths that are answered once the deployment has settled. */
export const demoProbePaths: readonly string[] = [
	...Array.from({length: 64}, (_, i) => `/tickets/k${i}`),
	'/parts/k1',
];
