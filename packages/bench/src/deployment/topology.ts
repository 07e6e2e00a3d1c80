import type {TargetOptions} from '@bluebellyard/standins';

/** Targets of one pool. */
export type PoolTopology = {
	readonly name: string;
	/** Number of targets; they are assigned to the domains in turn. */
	readonly targets: number;
	/** Domains that have targets of this pool; all domains if absent. */
	readonly domains?: readonly string[];
	/** Settings of each target. */
	readonly options: TargetOptions;
};

/** Settings of instances by section and key. */
export type SettingsOverrides = Readonly<Record<string, Readonly<Record<string, string>>>>;

/** Composition of a deployment. */
export type Topology = {
	/** Names of the failure domains. */
	readonly domains: readonly string[];
	readonly instancesPerDomain: number;
	readonly pools: readonly PoolTopology[];
	/** Text of the rules file. */
	readonly rules: string;
	/** Overrides of the default settings, for all instances. */
	readonly settings?: SettingsOverrides;
	/** Lag of the membership list in milliseconds. */
	readonly membershipLagMs?: number;
	/** Whether targets write journals, from which the ledgers of killed targets are restored. */
	readonly hasJournals?: boolean;
};

/** A target to start. */
export type TargetPlan = {
	readonly name: string;
	readonly domain: string;
	readonly pool: string;
	readonly options: TargetOptions;
};

/** An instance to start. */
export type InstancePlan = {
	readonly name: string;
	readonly domain: string;
};

/** Returns the targets of a topology. */
export function planTargets(topology: Topology): TargetPlan[] {
	return topology.pools.flatMap(({name, targets, domains = topology.domains, options}) =>
		Array.from({length: targets}, (_, i) => ({
			name: `${name}-${i + 1}`,
			domain: domains[i % domains.length],
			pool: name,
			options: {...options, seed: (options.seed ?? 1) + i},
		})));
}

/** Returns the instances of a topology. */
export function planInstances(topology: Topology): InstancePlan[] {
	return topology.domains.flatMap(domain =>
		Array.from({length: topology.instancesPerDomain}, (_, i) => ({name: `${domain}-entry-${i + 1}`, domain})));
}
