/**
 * Program of `bounded-writer.test.ts`: writes batches to standard output and exits at once, or after it has closed its log.
 * Arguments: `exit` or `close`, and the number of batches.
 */
import process from 'node:process';
import {BoundedWriter} from '../telemetry/index.js';

/** Longest wait for the reader, in milliseconds. */
const closeTimeoutMs = 5000;

/** Length of a line that is a batch of its own. */
const lineLength = 20_000;

const [how, count] = process.argv.slice(2);
const writer = new BoundedWriter();
process.on('exit', () => {
	writer.writeAtExit();
});
for (let i = 0; i < Number(count); i += 1) {
	writer.write('x'.repeat(lineLength));
}

writer.write('the last line');
if (how === 'close') {
	await writer.close(closeTimeoutMs);
}

// eslint-disable-next-line unicorn/no-process-exit -- what the exit loses is tested
process.exit(0);
