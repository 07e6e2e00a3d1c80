import {z} from 'zod';
import {TargetState} from '../records/index.js';
import {parseRules} from '../rules/index.js';
import {emptyRules, InstanceState, type Tables} from './tables.js';

const instanceSchema = z.object({
	id: z.string(),
	name: z.string(),
	domain: z.string(),
	peerAddr: z.string(),
	internalAddr: z.string(),
	controlAddr: z.string(),
	joined: z.number(),
	state: z.enum(InstanceState),
	eviction: z.number(),
	idsHandedOver: z.boolean(),
	idsHolder: z.string().default(''),
	copiesHolder: z.string().default(''),
});

const targetSchema = z.object({
	name: z.string(),
	pool: z.string(),
	domain: z.string(),
	addr: z.string(),
	state: z.enum(TargetState),
	steward: z.string(),
	tenure: z.number(),
	prevSteward: z.string(),
});

const shardSchema = z.tuple([z.string(), z.number(), z.string(), z.number(), z.number()]);

const snapshotSchema = z.object({
	folded: z.number(),
	instances: z.array(instanceSchema),
	targets: z.array(targetSchema),
	pools: z.array(z.object({
		name: z.string(),
		hashed: z.number(),
		shards: z.array(shardSchema),
		hot: z.array(z.tuple([z.string(), z.number()])),
	})),
	evictions: z.array(z.object({offset: z.number(), by: z.string(), members: z.array(z.string())})),
	config: z.object({offset: z.number(), text: z.string()}),
});

/** Encodes the tables as JSON for snapshots and peers. */
export function encodeTables(tables: Tables): string {
	return JSON.stringify({
		folded: tables.folded,
		instances: [...tables.instances.values()],
		targets: [...tables.targets.values()],
		pools: [...tables.pools.values()].map(pool => ({
			name: pool.name,
			hashed: pool.hashed,
			shards: pool.shards.map(shard => [shard.owner, shard.fence, shard.prevSteward, shard.load, shard.base]),
			hot: [...pool.hot],
		})),
		evictions: [...tables.evictions.values()],
		config: {offset: tables.config.offset, text: tables.config.text},
	});
}

/** Decodes tables from JSON; throws a `ZodError` or `SyntaxError` when the text is invalid. */
export function decodeTables(text: string): Tables {
	const data = snapshotSchema.parse(JSON.parse(text));
	return {
		folded: data.folded,
		instances: new Map(data.instances.map(row => [row.id, row])),
		targets: new Map(data.targets.map(row => [row.name, row])),
		pools: new Map(data.pools.map(pool => [pool.name, {
			name: pool.name,
			hashed: pool.hashed,
			shards: pool.shards.map(([owner, fence, prevSteward, load, base]) => ({
				owner, fence, prevSteward, load, base,
			})),
			hot: new Map(pool.hot),
		}])),
		evictions: new Map(data.evictions.map(row => [row.offset, row])),
		config: {...data.config, rules: parseRules(data.config.text).rules ?? emptyRules},
	};
}
