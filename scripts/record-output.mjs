import {appendFileSync, mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {stripVTControlCharacters} from 'node:util';

/** Extension of the files with the output of failed test files. */
export const recordExtension = '.out.txt';

/**
 * Writes a file for each test file in which something failed: what it wrote to its
 * standard output and error, and the stacks of its failures, in the order of the run.
 *
 * @param {AsyncIterable<import('ava/internal').Event>} events
 * @param {string} dir Directory for the files.
 */
export async function recordOutput(events, dir) {
	const outputs = new Map();
	for await (const event of events) {
		const text = formatEvent(event);
		if (text === '') {
			continue;
		}

		const name = event.testFile === undefined ? 'run' : path.relative(process.cwd(), event.testFile).replaceAll('/', '-');
		const output = outputs.get(name) ?? {text: '', hasFailed: false};
		outputs.set(name, output);
		const file = path.join(dir, name + recordExtension);
		if (output.hasFailed) {
			appendFileSync(file, text);
			continue;
		}

		output.text += text;
		output.hasFailed = !isOutput(event);
		if (output.hasFailed) {
			mkdirSync(dir, {recursive: true});
			writeFileSync(file, output.text);
		}
	}
}

function isOutput({type}) {
	return type === 'worker-stdout' || type === 'worker-stderr';
}

function formatEvent(event) {
	switch (event.type) {
		case 'worker-stdout':
		case 'worker-stderr': {
			return new TextDecoder().decode(event.chunk);
		}

		case 'hook-failed':
		case 'test-failed': {
			return `\nFailed: ${event.title}\n${formatError(event.err)}\n`;
		}

		case 'internal-error':
		case 'uncaught-exception':
		case 'unhandled-rejection': {
			return `\n${event.type}\n${formatError(event.err)}\n`;
		}

		case 'worker-failed': {
			return `\nThe test file exited with ${event.nonZeroExitCode ?? event.signal}\n`;
		}

		case 'process-exit': {
			return `\nThe test file called process.exit\n${event.stack}\n`;
		}

		case 'timeout': {
			const pending = [...event.pendingTests].flatMap(([file, titles]) => [...titles].map(title => `${file}: ${title}`));
			return `\nNo test completed within ${event.period} ms; pending:\n${pending.join('\n')}\n`;
		}

		default: {
			return '';
		}
	}
}

function formatError(err) {
	const text = err.type === 'unknown' ? err.formattedError : [err.stack, err.formattedCause].filter(Boolean).join('\n');
	const nested = (err.errors ?? []).map(other => `\n${formatError(other)}`);
	return stripVTControlCharacters(text) + nested.join('');
}
