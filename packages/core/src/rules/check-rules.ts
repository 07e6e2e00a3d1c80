/**
 * Checks rules against the known targets.
 */
import type {RuleProblem} from './problem.js';
import type {Rules} from './rules.js';

/** Target on the membership list. */
export type KnownTarget = {
	readonly name: string;
	readonly pool: string;
	readonly domain: string;
};

/** Returns whether the rules exclude a target from new work. */
export function isTargetOut(rules: Rules, target: KnownTarget): boolean {
	return rules.targetsOut.has(target.name) || isDomainOut(rules, target.domain);
}

/** Returns whether the rules exclude a failure domain from new work. */
export function isDomainOut(rules: Rules, domain: string): boolean {
	return rules.domainsOut.has(domain) || rules.domainsLost.has(domain);
}

/**
 * Returns problems of rules that exclude every target of a pool or every failure
 * domain from new work. Pools without known targets are not checked.
 */
export function checkRules(rules: Rules, targets: readonly KnownTarget[]): RuleProblem[] {
	const problems: RuleProblem[] = [];
	const domains = [...new Set(targets.map(target => target.domain))];
	if (domains.length > 0 && domains.every(domain => isDomainOut(rules, domain))) {
		problems.push({line: 0, what: 'every failure domain is out', expected: 'at least one domain that receives work'});
	}

	for (const pool of rules.pools.keys()) {
		const members = targets.filter(target => target.pool === pool);
		if (members.length > 0 && members.every(target => isTargetOut(rules, target))) {
			problems.push({line: 0, what: `every target of pool ${pool} is out`, expected: 'at least one target that receives work'});
		}
	}

	return problems;
}

/**
 * Returns rules that have no effect on the known targets, which is often a
 * mistake: names that no target has, and pools without targets. Returns nothing
 * while no target is known.
 */
export function findIneffectiveRules(rules: Rules, targets: readonly KnownTarget[]): RuleProblem[] {
	if (targets.length === 0) {
		return [];
	}

	const names = new Set(targets.map(target => target.name));
	const domains = new Set(targets.map(target => target.domain));
	const pools = new Set(targets.map(target => target.pool));
	const ineffective = [
		...[...rules.domainsOut].filter(name => !domains.has(name)).map(name => `out domain ${name}`),
		...[...rules.targetsOut].filter(name => !names.has(name)).map(name => `out target ${name}`),
		...[...rules.domainsLost].filter(name => !domains.has(name)).map(name => `lost domain ${name}`),
		...[...rules.pools.keys()].filter(name => !pools.has(name)).map(name => `pool ${name}`),
	];
	return ineffective.map(rule => ({line: 0, what: `no target belongs to "${rule}"`, expected: 'a known name, unless its targets are still to come'}));
}
