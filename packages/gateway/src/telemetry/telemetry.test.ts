import {openSync} from 'node:fs';
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
