/**
 * Checks a rule set against the targets that are known.
 */
import type {RuleProblem} from './problem.js';
import type {Rules} from './rules.js';

/** A target as the membership list names it. */
export type KnownTarget = {
	readonly name: string;
	readonly pool: string;
	readonly domain: string;
};

/** Whether the rules keep new work from a target. */
export function isTargetOut(rules: Rules, target: KnownTarget): boolean {
	return rules.targetsOut.has(target.name) || isDomainOut(rules, target.domain);
}

/** Whether the rules keep new work from a failure domain. */
export function isDomainOut(rules: Rules, domain: string): boolean {
	return rules.domainsOut.has(domain) || rules.domainsLost.has(domain);
}

/**
 * Problems of rules that take every target out of a pool, or every failure
 * domain. A pool without any known target is not judged.
 */
export function checkRules(rules: Rules, targets: readonly KnownTarget[]): RuleProblem[] {
	const problems: RuleProblem[] = [];
	const domains = [...new Set(targets.map(target => target.domain))];
	if (domains.length > 0 && domains.every(domain => isDomainOut(rules, domain))) {
		problems.push({line: 0, what: 'every failure domain is out', expected: 'one domain at least that receives work'});
	}

	for (const pool of rules.pools.keys()) {
		const members = targets.filter(target => target.pool === pool);
		if (members.length > 0 && members.every(target => isTargetOut(rules, target))) {
			problems.push({line: 0, what: `every target of pool ${pool} is out`, expected: 'one target at least that receives work'});
		}
	}

	return problems;
}

/**
 * Rules that have no effect on the known targets, which often is a slip:
 * names that no target has, and pools without a target. Nothing is found while
 * no target is known.
 */
export function findIneffectiveRules(rules: Rules, targets: readonly KnownTarget[]): RuleProblem[] {
	if (targets.length === 0) {
		return [];
	}

	const names = new Set(targets.map(target => target.name));
	const domains = new Set(targets.map(target => target.domain));
	const pools = new Set(targets.map(target => target.pool));
	const idle = [
		...[...rules.domainsOut].filter(name => !domains.has(name)).map(name => `out domain ${name}`),
		...[...rules.targetsOut].filter(name => !names.has(name)).map(name => `out target ${name}`),
		...[...rules.domainsLost].filter(name => !domains.has(name)).map(name => `lost domain ${name}`),
		...[...rules.pools.keys()].filter(name => !pools.has(name)).map(name => `pool ${name}`),
	];
	return idle.map(rule => ({line: 0, what: `no target belongs to "${rule}"`, expected: 'a known name, unless its targets are still to come'}));
}
