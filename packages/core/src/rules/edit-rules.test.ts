import test from 'ava';
import {checkRules, findIneffectiveRules} from './check-rules.js';
import {parseDuration, formatDuration} from './duration.js';
import {addRule, hasRule, removeRule} from './edit-rules.js';
import {parseRules} from './parse-rules.js';

const text = '# head\r\n\npool parts shared # A\n  out   domain a   # B\n';

test('an added rule stands last and other lines stay', t => {
	t.is(addRule('pool p shared # A', 'out domain b # C'), 'pool p shared # A\nout domain b # C\n');
	t.is(addRule('', 'out domain b # C'), 'out domain b # C\n');
});

test('a rule is added once', t => {
	t.is(addRule(text, 'out domain a # C'), text);
	t.true(hasRule(text, 'out domain a'));
});

test('a removed rule leaves the other lines as they were', t => {
	t.is(removeRule(text, 'out domain a'), '# head\r\n\npool parts shared # A\n');
	t.is(removeRule(text, 'out domain b'), text);
	t.is(removeRule(text, '# head'), text);
});

const targets = [
	{name: 't1', pool: 'p', domain: 'a'},
	{name: 't2', pool: 'p', domain: 'b'},
	{name: 't3', pool: 'q', domain: 'b'},
];

function counts(out: string): number {
	const {rules} = parseRules('pool p shared # w\npool q shared # w\npool r shared # w\n' + out);
	return checkRules(rules!, targets).length;
}

test('a rule set that empties a pool is found', t => {
	t.is(counts(''), 0);
	t.is(counts('out target t1 # w\n'), 0);
	t.is(counts('out target t3 # w\n'), 1);
	t.is(counts('out domain b # w\n'), 1);
	t.is(counts('out domain a # w\nout target t2 # w\n'), 1);
});

test('a rule set that takes out every domain is found', t => {
	t.is(counts('out domain a # w\nlost domain b # w\n'), 3);
});

test('rules without effect are found', t => {
	const {rules} = parseRules('pool p shared # w\npool r shared # w\nout domain a # w\nout domain c # w\nout target t9 # w\nlost domain d # w\n');
	const found = findIneffectiveRules(rules!, targets).map(problem => problem.what.split('"').at(1));
	t.deepEqual(findIneffectiveRules(rules!, []), []);
	t.deepEqual(found, ['out domain c', 'out target t9', 'lost domain d', 'pool r']);
});

test('durations', t => {
	t.is(parseDuration('15s'), 15_000);
	t.is(parseDuration('5'), undefined);
	t.is(parseDuration('s'), undefined);
	t.is(parseDuration('-1s'), undefined);
	t.is(parseDuration('7ms'), 7);
	t.is(formatDuration(90_000), '90s');
	t.is(formatDuration(0), '0ms');
});
