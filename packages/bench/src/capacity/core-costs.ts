import {Buffer} from 'node:buffer';
import {
	defaultTiming, emptyTables, encodeRecord, encodeTables, foldData, createRecord, Member, planPlacement, RecordKind, RouteTable,
	type RecordBody, type Tables,
} from '@bluebellyard/core';
import {Random} from '../load/index.js';
import {fitLine, type LinearFit, type Point} from './fit.js';

/** Sizes of a set of tables. */
export type TableSizes = {
	readonly instances: number;
	readonly targets: number;
	readonly shards: number;
	readonly rules: number;
};

/** Cost at several sizes, with a fitted line. */
export type CostSeries = {
	readonly name: string;
	readonly unit: string;
	readonly varied: keyof TableSizes;
	readonly points: readonly Point[];
	readonly fit: LinearFit;
};

const domains = 6;
const baseSizes: TableSizes = {
	instances: 12, targets: 36, shards: 256, rules: 50,
};

/** Sizes that are measured for each varied dimension. */
const variations: Readonly<Record<keyof TableSizes, readonly number[]>> = {
	instances: [12, 50, 150, 450],
	targets: [36, 100, 200, 400],
	shards: [256, 1024, 4096, 16_384],
	rules: [50, 200, 800, 3200],
};

const variedSizes = ['instances', 'targets', 'shards', 'rules'] as const;

/** Number of runs of a measurement, of which the median is reported. */
const runsPerMeasurement = 41;

const microsPerMs = 1000;

/** Measures the costs of the pure core at several sizes of its tables. */
export function measureCoreCosts(seed: number): CostSeries[] {
	const lines: CostSeries[] = [];
	for (const varied of variedSizes) {
		const samples = variations[varied].map(size => ({size, costs: measure({...baseSizes, [varied]: size}, seed)}));
		for (const [i, {name, unit}] of samples[0].costs.entries()) {
			const points = samples.map(({size, costs}) => ({size, value: costs[i].value}));
			lines.push({
				name, unit, varied, points, fit: fitLine(points),
			});
		}
	}

	return lines;
}

type Cost = {
	readonly name: string;
	readonly unit: string;
	readonly value: number;
};

function measure(sizes: TableSizes, seed: number): Cost[] {
	const {tables, records} = buildTables(sizes);
	const text = encodeTables(tables);
	const member = createMember(tables, seed);
	let now = 1000;
	member.handleLogTail(now, tables.folded + 1);
	const routes = new RouteTable(tables.config.rules);
	return [
		{name: 'snapshot', unit: 'bytes', value: Buffer.byteLength(text)},
		{name: 'encode snapshot', unit: 'ms', value: measureMedianMs(() => encodeTables(tables))},
		{name: 'plan', unit: 'ms', value: measureMedianMs(() => planPlacement(tables))},
		{
			name: 'tick', unit: 'us', value: microsPerMs * measureMedianMs(() => {
				now += 20;
				member.handleLogTail(now, tables.folded + 1);
				member.tick(now);
			}),
		},
		{name: 'fold all records', unit: 'ms', value: measureMedianMs(() => foldAll(records))},
		{
			name: 'route 1000 requests', unit: 'ms', value: measureMedianMs(() => {
				routeRequests(routes, sizes.rules);
			}),
		},
	];
}

function createMember(tables: Tables, seed: number): Member {
	const random = new Random(seed);
	const row = tables.instances.get('i0#0')!;
	return new Member({
		self: {
			id: row.id, name: row.name, domain: row.domain, peerAddr: row.peerAddr, internalAddr: row.internalAddr, controlAddr: row.controlAddr,
		},
		timing: defaultTiming,
		random: () => random.uniform(),
		tables,
	});
}

function buildTables(sizes: TableSizes): {readonly tables: Tables; readonly records: readonly string[]} {
	const bodies: Array<[string, RecordBody]> = [];
	for (let i = 0; i < sizes.instances; i += 1) {
		bodies.push([`i${i}#0`, {
			kind: RecordKind.Join,
			instance: `i${i}#0`,
			name: `i${i}`,
			domain: `d${i % domains}`,
			peerAddr: '10.0.0.1:1000',
			internalAddr: '10.0.0.1:1001',
			controlAddr: '10.0.0.1:1002',
		}]);
	}

	bodies.push(
		['op', {kind: RecordKind.Config, base: 0, text: formatRules(sizes)}],
		['i0#0', {kind: RecordKind.Admit, targets: Array.from({length: sizes.targets}, (_, i) => createTarget(i))}],
		['i0#0', {
			kind: RecordKind.Tenure,
			changes: Array.from({length: sizes.targets}, (_, i) => ({target: `t${i}`, steward: `i${i % sizes.instances}#0`, prev: 0})),
		}],
		['i0#0', {
			kind: RecordKind.Moves,
			moves: Array.from({length: sizes.shards}, (_, shard) => ({
				pool: 'keys', shard, to: `t${shard % sizes.targets}`, prev: 0, tenure: 0,
			})),
		}],
	);
	const records = bodies.map(([by, body], i) => encodeRecord(createRecord(body, `r${i}`, by)));
	return {tables: foldAll(records), records};
}

function createTarget(i: number) {
	return {
		name: `t${i}`, pool: 'keys', domain: `d${i % domains}`, addr: `10.1.${Math.floor(i / 250)}.${i % 250}:80`,
	};
}

function formatRules(sizes: TableSizes): string {
	const lines = [`pool keys keyed shards=${sizes.shards} slots=4  # capacity`];
	for (let i = 0; i < sizes.rules; i += 1) {
		lines.push(`route GET /keys${i}/{key} keys  # capacity`);
	}

	return `${lines.join('\n')}\n`;
}

function foldAll(records: readonly string[]): Tables {
	const tables = emptyTables();
	for (const [i, record] of records.entries()) {
		const {accepted, reason} = foldData(tables, i + 1, record);
		if (!accepted) {
			throw new Error(`Record ${i} was rejected: ${reason}`);
		}
	}

	return tables;
}

function routeRequests(routes: RouteTable, rules: number): void {
	for (let i = 0; i < 1000; i += 1) {
		routes.match('GET', `/keys${i % rules}/k${i}`);
	}
}

/** Returns the median time of several runs, in milliseconds, after one run for warm-up. */
function measureMedianMs(run: () => unknown): number {
	run();
	const times = Array.from({length: runsPerMeasurement}, () => {
		const startedAt = performance.now();
		run();
		return performance.now() - startedAt;
	});
	return times.toSorted((a, b) => a - b)[Math.floor(runsPerMeasurement / 2)];
}
