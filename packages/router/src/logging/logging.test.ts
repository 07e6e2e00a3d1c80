import test from 'ava';
import {ManualClock} from '@bluebellyard/core';
import {
	configureLogging, createLogger, LogFormat, LogLevel,
} from './logging.js';

const lines: string[] = [];
const write = (line: string) => {
	lines.push(line);
};

test.beforeEach(() => {
	lines.length = 0;
	configureLogging({
		level: LogLevel.Info, format: LogFormat.Text, clock: new ManualClock(), write,
	});
});

test.serial('a text line names its part', t => {
	const log = createLogger('steward');
	log.info('Target taken over.', {target: 't1', offset: 5});
	log.debug('Not written.');
	t.deepEqual(lines, ['1970-01-01T00:00:00.000Z info steward: Target taken over. target=t1 offset=5']);
});

test.serial('a JSON line is one object', t => {
	const log = createLogger('log');
	configureLogging({format: LogFormat.Json, level: LogLevel.Debug});
	log.debug('Read failed.', {err: new Error('two\nlines'), part: 'x'});
	t.deepEqual(JSON.parse(lines[0]), {
		err: 'two\nlines', time: '1970-01-01T00:00:00.000Z', level: 'debug', part: 'log', msg: 'Read failed.',
	});
	t.is(lines[0].split('\n').length, 1);
});

test.serial('line breaks are escaped in a text line', t => {
	createLogger('log').warn('a\nb', {odd: undefined});
	t.deepEqual(lines, [String.raw`1970-01-01T00:00:00.000Z warn log: a\nb odd=undefined`]);
});

test.serial('the level silent writes nothing', t => {
	configureLogging({level: LogLevel.Silent});
	createLogger('log').error('Fault.');
	t.deepEqual(lines, []);
});
