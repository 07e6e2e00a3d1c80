import type {TargetOptions} from '@bluebellyard/standins';

/** Targets of one pool. */
export type PoolTopology = {
	readonly name: string;
	/** Number of targets; they are spread over the domains in turn. */
	readonly targets: number;
	/** Domains that have targets of this pool; all when absent. */
	readonly domains?: readonly string[];
	/** Settings of each target. */
	readonly options: TargetOptions;
};

/** Settings of instances by section and key. */
export type SettingsOverrides = Readonly<Record<string, Readonly<Record<string, string>>>>;

/** What a deployment consists of. */
export type Topology = {
	/** Names of the failure domains. */
	readonly domains: readonly string[];
	readonly instancesPerDomain: number;
	readonly pools: readonly PoolTopology[];
	/** Text of the rules file. */
	readonly rules: string;
	/** Replaces settings of all instances. */
	readonly settings?: SettingsOverrides;
	/** Lag of the membership list in milliseconds. */
	readonly membershipLagMs?: number;
	/** Whether targets write journals, so that the ledger of a killed one is kept. */
	readonly hasJournals?: boolean;
};

/** One target to start. */
export type TargetPlan = {
	readonly name: string;
	readonly domain: string;
	readonly pool: string;
	readonly options: TargetOptions;
};

/** One instance to start. */
export type InstancePlan = {
	readonly name: string;
	readonly domain: string;
};

/** All targets of a topology. */
export function planTargets(topology: Topology): TargetPlan[] {
	return topology.pools.flatMap(({name, targets, domains = topology.domains, options}) =>
		Array.from({length: targets}, (_, i) => ({
			name: `${name}-${i + 1}`,
			domain: domains[i % domains.length],
			pool: name,
			options: {...options, seed: (options.seed ?? 1) + i},
		})));
}

/** All instances of a topology. */
export function planInstances(topology: Topology): InstancePlan[] {
	return topology.domains.flatMap(domain =>
		Array.from({length: topology.instancesPerDomain}, (_, i) => ({name: `${domain}-entry-${i + 1}`, domain})));
}
