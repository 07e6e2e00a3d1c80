import {readFileSync} from 'node:fs';
import test from 'ava';
import fc from 'fast-check';
import {loadSettings, parseSettings} from './load-settings.js';
import {TlsMode} from './schema.js';
import {SettingsError} from './settings-error.js';
import {formatSettingsPage} from './settings-page.js';
import {readTlsFiles} from './tls-files.js';

const validSettings = `[instance]
name = i1
domain = a
[listen]
callers = 127.0.0.1:8000
internal = 127.0.0.1:8001
peers = 127.0.0.1:8003
control = [::1]:8002
[platform]
log = http://127.0.0.1:7000
membership = http://127.0.0.1:7001/
[tls]
mode = off
`;

test('defaults apply to absent keys', t => {
	const settings = parseSettings(validSettings, 'f');
	t.deepEqual(settings.instance, {name: 'i1', domain: 'a'});
	t.deepEqual(settings.listen.control, {host: '::1', port: 8002});
	t.is(settings.platform.membership, 'http://127.0.0.1:7001');
	t.deepEqual(settings.timing, {
		lease: 500, heartbeat: 100, suspect: 300, right: 300, isolation: 15_000, drift: 0.01,
	});
	t.is(settings.limits.body, 1_048_576);
	t.is(settings.limits.idleTimeout, 60_000);
	t.is(settings.metrics.statsd, undefined);
});

test('explicit values are parsed', t => {
	const more = '[timing]\nisolation = hold\ndrift = 0.5%\n[metrics]\nstatsd = 10.0.0.1:8125\n[limits]\nheaders = 8KiB\n';
	const settings = parseSettings(validSettings + more, 'f');
	t.is(settings.timing.isolation, Number.POSITIVE_INFINITY);
	t.is(settings.timing.drift, 0.005);
	t.deepEqual(settings.metrics.statsd, {host: '10.0.0.1', port: 8125});
	t.is(settings.limits.headers, 8192);
});

function getRefusal(fn: () => unknown): string {
	try {
		fn();
	} catch (err) {
		return err instanceof SettingsError ? err.message : 'another error';
	}

	return 'none';
}

const badFiles: ReadonlyArray<readonly [text: string, line: string]> = [
	[validSettings.replace('domain = a\n', ''), 'f: [instance] domain: is missing; expected ASCII letters'],
	[validSettings.replace('name = i1', 'name = a b'), 'f: [instance] name: is "a b"; expected ASCII'],
	[validSettings.replace('127.0.0.1:8000', 'localhost:8000'), 'f: [listen] callers: is "localhost:8000"; expected an IP number'],
	[validSettings.replace('127.0.0.1:8000', '127.0.0.256:8000'), 'f: [listen] callers: is "127.0.0.256:8000"; expected'],
	[validSettings.replace('127.0.0.1:8000', '127.0.0.1:70000'), 'f: [listen] callers: is "127.0.0.1:70000"; expected'],
	[validSettings.replace('127.0.0.1:8000', '0.0.0.0:8000'), 'f: [listen] callers: is "0.0.0.0:8000"; expected'],
	[validSettings.replace('127.0.0.1:8000', '127.0.0.1'), 'f: [listen] callers: is "127.0.0.1"; expected'],
	[validSettings.replace('127.0.0.1:8000', '::1:8000'), 'f: [listen] callers: is "::1:8000"; expected'],
	[validSettings.replace('127.0.0.1:8001', '127.0.0.1:8000'), 'f: [listen] internal: is 127.0.0.1:8000, which another key uses already; expected a different address for each key'],
	[validSettings.replace('http://127.0.0.1:7000', 'https://127.0.0.1:7000'), 'f: [platform] log: is "https://'],
	[validSettings.replace('http://127.0.0.1:7000', 'http://log:7000'), 'f: [platform] log: is "http://log:7000"; expected'],
	[validSettings.replace('http://127.0.0.1:7000', 'http://127.0.0.1:0'), 'f: [platform] log: is "http://127.0.0.1:0"; expected'],
	[validSettings.replace('mode = off', 'mode = on'), 'f: [tls] mode: is "on"; expected mutual or off'],
	[validSettings.replace('mode = off', 'ca = x\nkey = y'), 'f: [tls] cert: is missing; expected the path of a PEM file, or mode = off'],
	[validSettings.replace('name = i1', 'name'), 'f: [instance] name: is not a single value; expected'],
	[validSettings.replace('name = i1', 'name = i1\nname = i2'), 'f: [instance] name: is set twice; expected one line'],
	[`${validSettings}[timing]\nlease = 500\n`, 'f: [timing] lease: is "500"; expected a duration such as'],
	[`${validSettings}[timing]\nlease = 150ms\n`, 'f: [timing] lease: is 150ms; expected at least twice heartbeat (100ms)'],
	[`${validSettings}[timing]\nright = 199ms\n`, 'f: [timing] right: is 199ms; expected at least twice heartbeat'],
	[`${validSettings}[timing]\nsuspect = 100ms\n`, 'f: [timing] suspect: is 100ms; expected more than heartbeat'],
	[`${validSettings}[timing]\nisolation = 299ms\n`, 'f: [timing] isolation: is 299ms; expected at least right'],
	[`${validSettings}[timing]\ndrift = 11%\n`, 'f: [timing] drift: is "11%"; expected a percentage'],
	[`${validSettings}[timing]\ndrift = -1%\n`, 'f: [timing] drift: is "-1%"; expected a percentage'],
	[`${validSettings}[limits]\nbody = 1MB\n`, 'f: [limits] body: is "1MB"; expected a size'],
	[`${validSettings}[limits]\nqueue = 0\n`, 'f: [limits] queue: is "0"; expected a whole number'],
	[`${validSettings}[limits]\ncolour = red\n`, 'f: [limits] colour: unknown key; expected body, headers'],
	[`${validSettings}[colours]\nred = 1\n`, 'f: [colours]: unknown section or a key outside any section; expected instance'],
	[`red = 1\n${validSettings}`, 'f: [red]: unknown section or a key outside any section; expected instance'],
	[`timing = 1\n${validSettings}`, 'f: [timing]: is not a section; expected a line [timing]'],
	[`${validSettings}[log]\nformat = xml\n`, 'f: [log] format: is "xml"; expected text or json'],
];

for (const [text, line] of badFiles) {
	test(line, t => {
		const msg = getRefusal(() => parseSettings(text, 'f'));
		t.is(msg.split('\n').length, 1);
		t.true(msg.startsWith(line));
	});
}

test('a missing file is refused', t => {
	const msg = getRefusal(() => loadSettings('/nowhere/f.ini'));
	t.true(msg.startsWith('/nowhere/f.ini: cannot be read; expected a settings file'));
});

test('random text is refused with SettingsError and no other error', t => {
	const word = fc.constantFrom('[instance]', '[timing]', 'name', '=', '\n', 'lease', '[__proto__]', 'timing', '10ms', '[a.b]', '[]');
	const text = fc.oneof(fc.string({unit: 'binary'}), fc.array(fc.oneof(word, fc.string())).map(words => words.join('')));
	const isRefused = fc.property(text, input => {
		try {
			parseSettings(input, 'f');
			return false;
		} catch (err) {
			return err instanceof SettingsError;
		}
	});
	t.notThrows(() => {
		fc.assert(isRefused, {seed: 1});
	});
});

test('docs/SETTINGS.md matches the schema', t => {
	const page = readFileSync(new URL('../../../../docs/SETTINGS.md', import.meta.url), 'utf8');
	t.is(page, formatSettingsPage());
});

test('unusable TLS files are refused', t => {
	t.is(readTlsFiles({mode: TlsMode.Off}), undefined);
	const paths = {
		mode: TlsMode.Mutual, ca: '/nowhere/ca.pem', cert: 'package.json', key: 'package.json',
	};
	for (const [ca, what] of [['/nowhere/ca.pem', 'cannot be read'], ['package.json', 'cannot be used with its key']]) {
		t.true(getRefusal(() => readTlsFiles({...paths, ca}, 'f')).includes(what));
	}
});

test('a TLS key is accepted only with its own certificate', t => {
	const file = (name: string) => new URL(`../../src/settings/mocks/${name}`, import.meta.url).pathname;
	const paths = {
		mode: TlsMode.Mutual, ca: file('cert.pem'), cert: file('cert.pem'), key: file('key.pem'),
	};
	t.true(readTlsFiles(paths)?.key.includes('PRIVATE KEY'));
	t.true(getRefusal(() => readTlsFiles({...paths, key: file('other-key.pem')})).includes('cannot be used with its key'));
});
