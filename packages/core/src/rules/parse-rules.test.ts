import test from 'ava';
import fc from 'fast-check';
import {formatRules} from './edit-rules.js';
import {parseRules} from './parse-rules.js';
import {formatProblem} from './problem.js';
import {PoolKind, Repeat} from './rules.js';

const pools = 'pool tickets keyed slots=2 fenced=yes # Abeba\npool parts shared # Abeba\n';

function findProblems(text: string): string[] {
	return parseRules(text).problems.map(formatProblem);
}

test('parses every kind of rule', t => {
	const {rules, problems} = parseRules(`# head\n\n${pools}`
		+ 'route GET,POST /tickets/{key}/** tickets # Dawit\r\n'
		+ 'route POST /parts/* parts idempotent # Dawit\n'
		+ 'out domain a # Sara\nout target t-1 # Sara\nlost domain b # Sara');
	t.deepEqual(problems, []);
	t.is(rules?.pools.get('tickets')?.kind, PoolKind.Keyed);
	t.is(rules?.pools.get('tickets')?.timeout, 5000);
	t.is(rules?.pools.get('parts')?.shards, 0);
	t.deepEqual(rules?.routes.map(route => [route.methods.join(','), route.repeat]), [
		['GET', Repeat.Idempotent], ['POST', Repeat.Once], ['POST', Repeat.Idempotent],
	]);
	t.deepEqual(rules?.routes[0].source, {line: 5, who: 'Dawit'});
	t.deepEqual([...rules!.domainsOut, ...rules!.targetsOut, ...rules!.domainsLost], ['a', 't-1', 'b']);
});

const badLines: ReadonlyArray<readonly [line: string, part: string]> = [
	['pool x keyed', 'no comment names who'],
	['pool x keyed #  ', 'no comment names who'],
	['pool x # w', 'no name or kind'],
	['pool x odd # w', 'unknown kind'],
	['pool a/b keyed # w', 'malformed name'],
	['pool x keyed shards=0 # w', 'shards is "0"'],
	['pool x keyed slots=1e3 # w', 'slots is "1e3"'],
	['pool x keyed slots=1 slots=2 # w', 'option slots appears twice'],
	['pool x keyed colour=red # w', 'unknown option'],
	['pool x keyed fenced=maybe # w', 'fenced is "maybe"'],
	['pool x keyed timeout=5 # w', 'timeout is "5"'],
	['pool x keyed timeout=2h # w', 'timeout is "2h"'],
	['pool x shared shards=4 # w', 'shards is set for a shared pool'],
	['pool tickets keyed # w', 'already defined'],
	['route GET /a # w', 'incomplete'],
	['route get /a parts # w', 'unknown method "get"'],
	['route GET,GET /a parts # w', 'method GET appears twice'],
	['route GET a parts # w', 'does not start with /'],
	['route GET /a/ parts # w', 'segment ""'],
	['route GET /a/../b parts # w', 'segment ".."'],
	['route GET /a%20b parts # w', 'malformed segment'],
	['route GET /**/b parts # w', 'appears before the end'],
	['route GET /{key}/{key} tickets # w', 'appears more than once'],
	['route GET /x tickets # w', 'no {key}'],
	['route GET /x other # w', 'unknown pool "other"'],
	['route GET /x parts twice # w', 'unknown word'],
	['route GET /x parts once now # w', 'too many words'],
	['out domain # w', 'malformed rule'],
	['lost target x # w', 'malformed rule'],
	['in domain x # w', 'unknown rule "in"'],
];

for (const [line, part] of badLines) {
	test(`rejects: ${line}`, t => {
		const problems = findProblems(`${pools}${line}\n`);
		t.is(problems.length, 1);
		t.true(problems[0].startsWith('line 3: '));
		t.true(problems[0].includes(part));
		t.is(parseRules(pools + line).rules, undefined);
	});
}

test('reports all problems in line order', t => {
	const {problems} = parseRules('route GET /x nowhere # w\nfoo # w\npool x odd # w\n');
	t.deepEqual(problems.map(problem => problem.line), [1, 2, 3]);
});

const shadowed: ReadonlyArray<readonly [first: string, second: string, isShadowed: boolean]> = [
	['/a', '/a', true],
	['/*', '/a', true],
	['/**', '/', true],
	['/a/**', '/a', true],
	['/a/**', '/a/*/**', true],
	['/{key}', '/*', true],
	['/a', '/*', false],
	['/*', '/a/b', false],
	['/*', '/**', false],
	['/a/*', '/b/*', false],
];

for (const [first, second, isShadowed] of shadowed) {
	test(`${first} shadows ${second}: ${isShadowed}`, t => {
		const problems = findProblems(`${pools}route GET ${first} parts # w\nroute GET ${second} parts # w\n`);
		t.is(problems.length, isShadowed ? 1 : 0);
	});
}

test('parsing never throws, and returns either rules or problems', t => {
	const word = fc.constantFrom('pool', 'route', 'out', 'lost', 'domain', 'keyed', '#', '/', '{key}', '**', 'GET', 'slots=', '\n', '\r');
	const text = fc.oneof(fc.string({unit: 'binary'}), fc.array(fc.oneof(word, fc.string())).map(words => words.join(' ')));
	const hasRulesOrProblems = fc.property(text, input => {
		const {rules, problems} = parseRules(input);
		return (rules === undefined) === (problems.length > 0);
	});
	t.notThrows(() => {
		fc.assert(hasRulesOrProblems, {seed: 1});
	});
});

test('formatted rules parse to the same rules', t => {
	const rules = parseRules(`${pools}route GET,PUT /t/{key} tickets # Dawit\nout domain a # Sara\n`).rules!;
	const again = parseRules(formatRules(rules, 'Sara')).rules!;
	t.deepEqual(again.pools, rules.pools);
	t.deepEqual(again.domainsOut, rules.domainsOut);
	t.deepEqual(again.routes.map(({source, ...route}) => route), rules.routes.map(({source, ...route}) => route));
});
