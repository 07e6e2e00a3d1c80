/**
 * Runs all tests: first those that may run beside each other, then those of `ava.crowds.config.js`. A failed test that KNOWN-RED.txt lists under `test:` is printed
 * and ignored; any other failure fails the run. What failed tests and their child
 * processes wrote stays in a directory of its own under `.test-output`.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	createWriteStream, mkdirSync, readdirSync, readFileSync, rmSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {
	describeKnownRed, findNewFailures, isPassed, readKnownRed,
} from './known-red.mjs';
import {recordExtension} from './record-output.mjs';
import {readTap} from './tap.mjs';

const knownRedFile = 'KNOWN-RED.txt';

const outputDir = path.resolve('.test-output', new Date().toISOString().replaceAll(':', '-'));
mkdirSync(outputDir, {recursive: true});

const results = [];

/** Runs the tests of a configuration and adds their results; resolves to the exit code. */
async function runTests(tapFile, options) {
	const runner = spawn('npx', ['ava', '--tap', ...options], {
		stdio: ['ignore', 'pipe', 'inherit'],
		env: {...process.env, TEST_OUTPUT_DIR: outputDir},
	});
	const closed = once(runner, 'close');
	runner.stdout.pipe(createWriteStream(path.join(outputDir, tapFile)));
	for await (const result of readTap(createInterface({input: runner.stdout}))) {
		results.push(result);
		if (!result.isOk) {
			console.log(result.lines.join('\n'));
		}
	}

	const [exitCode] = await closed;
	return exitCode;
}

const exitCodes = [
	await runTests('tap.txt', []),
	await runTests('crowds.tap.txt', ['--config', 'ava.crowds.config.js']),
];
const knownRed = readKnownRed(knownRedFile);
const failures = results.filter(({isOk}) => !isOk);

if (failures.length === 0) {
	rmSync(outputDir, {recursive: true});
} else {
	for (const file of readdirSync(outputDir).filter(name => name.endsWith(recordExtension))) {
		console.log(`\nOutput of ${file.slice(0, -recordExtension.length)}:`);
		console.log(readFileSync(path.join(outputDir, file), 'utf8'));
	}

	console.log(`Output of failed tests and of their processes: ${outputDir}`);
}

for (const {title, state} of describeKnownRed(knownRed, results)) {
	console.log(`known red, ${state}: ${title}`);
}

for (const title of findNewFailures(knownRed, results)) {
	console.log(`FAILED: ${title}`);
}

console.log(`${results.length - failures.length} passed, ${failures.length} failed`);
process.exitCode = exitCodes.every(exitCode => isPassed(knownRed, results, exitCode)) ? 0 : 1;
