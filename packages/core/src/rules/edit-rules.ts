/**
 * Edits the text of a rules file one line at a time and writes whole files.
 */
import {formatDuration} from './duration.js';
import {formatTemplate} from './path-template.js';
import {parseRuleLine} from './rule-line.js';
import {
	PoolKind, type PoolRule, type RouteRule, type Rules,
} from './rules.js';

/** Words of a rule as one text; blanks and comment do not count. */
function ruleOf(line: string): string {
	return parseRuleLine(line)?.words.join(' ') ?? '';
}

/** Whether the text has the rule of `line`, whoever asked for it. */
export function hasRule(text: string, line: string): boolean {
	const rule = ruleOf(line);
	return rule !== '' && text.split('\n').some(other => ruleOf(other) === rule);
}

/** The text with `line` added at its end, or the same text when it has that rule. */
export function addRule(text: string, line: string): string {
	if (hasRule(text, line)) {
		return text;
	}

	const end = text.includes('\r\n') ? '\r\n' : '\n';
	const start = text === '' || text.endsWith('\n') ? text : text + end;
	return start + line + end;
}

/** The text without the lines that state the rule of `line`, whoever asked for them. */
export function removeRule(text: string, line: string): string {
	const rule = ruleOf(line);
	if (rule === '') {
		return text;
	}

	return text.split('\n').filter(other => ruleOf(other) !== rule).join('\n');
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

/** Text of a rule set. `who` is named for rules whose source is not known. */
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
