import {mkdtempSync, openSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {ManualClock} from '@bluebellyard/core';
import {configureLogging} from '@bluebellyard/router/logging';
import {BoundedWriter} from './bounded-writer.js';
import {Telemetry} from './telemetry.js';

test.serial('lines above the rate limit are dropped and counted', t => {
	const lines: string[] = [];
	configureLogging({
		write(line) {
			lines.push(line);
		},
	});
	const clock = new ManualClock();
	const telemetry = new Telemetry(clock);
	for (let i = 0; i < 1000; i += 1) {
		telemetry.logRequest('Request refused.', {id: String(i)});
	}

	t.true(lines.length < 200);
	t.is(lines.length + telemetry.suppressedLines, 1000);
	clock.advance(1000);
	telemetry.logRequest('Request refused.', {id: 'next'});
	t.true(lines.at(-1)?.includes('next'));
});

test('lines are dropped when the reader does not keep up', t => {
	const fd = openSync('/dev/null', 'w');
	const writer = new BoundedWriter(fd);
	for (let i = 0; i < 5000; i += 1) {
		writer.write('x'.repeat(1000));
	}

	t.true(writer.dropped > 0);
	// The writer closes the descriptor, which it owns from its start.
	writer.end();
});

/*
Lines are written in batches, and a drop concerns a whole batch: guards against lines that are lost or counted as one when
a batch is dropped, and against lines that are never written since nothing follows them.
*/
test('each line is written or counted as dropped', async t => {
	const path = join(mkdtempSync(join(tmpdir(), 'bounded-writer-')), 'log');
	const writer = new BoundedWriter(openSync(path, 'w'));
	const lines = Array.from({length: 5000}, (_, i) => `${i} ${'x'.repeat(200)}`);
	for (const line of lines) {
		writer.write(line);
	}

	writer.end();
	const written = lines.length - writer.dropped;
	t.true(written > 0 && written < lines.length);
	while (readFileSync(path, 'utf8').split('\n').length - 1 < written) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(10);
	}

	t.true(readFileSync(path, 'utf8').startsWith(`${lines[0]}\n${lines[1]}\n`));
	const last = new BoundedWriter(openSync(path, 'w'));
	last.write('the only line');
	while (readFileSync(path, 'utf8') !== 'the only line\n') {
		// eslint-disable-next-line no-await-in-loop
		await sleep(10);
	}

	last.end();
});
