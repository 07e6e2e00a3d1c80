/**
 * Edits single lines in the text of a rules file and formats whole files.
 */
import {formatDuration} from './duration.js';
import {formatTemplate} from './path-template.js';
import {parseRuleLine} from './rule-line.js';
import {
	PoolKind, type PoolRule, type RouteRule, type Rules,
} from './rules.js';

/** Returns a rule without its comment and with single spaces; empty for a line without a rule. */
function normalizeRule(line: string): string {
	return parseRuleLine(line)?.words.join(' ') ?? '';
}

/** Returns whether the text contains the rule of `line`, regardless of the comment. */
export function hasRule(text: string, line: string): boolean {
	const rule = normalizeRule(line);
	return rule !== '' && text.split('\n').some(other => normalizeRule(other) === rule);
}

/** Returns the text with `line` appended, or the same text if it already contains that rule. */
export function addRule(text: string, line: string): string {
	if (hasRule(text, line)) {
		return text;
	}

	const end = text.includes('\r\n') ? '\r\n' : '\n';
	const start = text === '' || text.endsWith('\n') ? text : text + end;
	return start + line + end;
}

/** Returns the text without the lines that contain the rule of `line`, regardless of their comments. */
export function removeRule(text: string, line: string): string {
	const rule = normalizeRule(line);
	if (rule === '') {
		return text;
	}

	return text.split('\n').filter(other => normalizeRule(other) !== rule).join('\n');
}

function formatPool(pool: PoolRule): string {
	const keyed = pool.kind === PoolKind.Keyed ? [`shards=${pool.shards}`, `fenced=${pool.fenced ? 'yes' : 'no'}`] : [];
	const words = [
		'pool',
		pool.name,
		pool.kind,
		...keyed,
		`slots=${pool.slots}`,
		`queue=${pool.queue}`,
		`timeout=${formatDuration(pool.timeout)}`,
	];
	return words.join(' ');
}

function formatRoute(route: RouteRule): string {
	return ['route', route.methods.join(','), formatTemplate(route.segments), route.pool, route.repeat].join(' ');
}

/** Returns the text of a rules file; rules without a known source get `who` as their comment. */
export function formatRules(rules: Rules, who: string): string {
	const withWho = (rule: string, name = who) => `${rule}  # ${name}\n`;
	const lines = [
		...[...rules.pools.values()].map(pool => withWho(formatPool(pool), pool.source?.who)),
		...rules.routes.map(route => withWho(formatRoute(route), route.source?.who)),
		...[...rules.domainsOut].map(name => withWho(`out domain ${name}`)),
		...[...rules.targetsOut].map(name => withWho(`out target ${name}`)),
		...[...rules.domainsLost].map(name => withWho(`lost domain ${name}`)),
	];
	return lines.join('');
}
