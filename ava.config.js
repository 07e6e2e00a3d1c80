import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {recordOutput} from './scripts/record-output.mjs';

/** Directory for what failed tests leave behind; scripts/test.mjs sets one for each run. */
const outputDir = process.env.TEST_OUTPUT_DIR ?? fileURLToPath(new URL('.test-output', import.meta.url));

/** The tests run from the compiled output of each package. */
const config = {
	files: ['packages/*/dist/**/*.test.js', 'platform/dist/**/*.test.js', 'scripts/*.test.mjs', '!**/crowds/**'],
	timeout: '120s',
	workerThreads: false,
	environmentVariables: {TEST_OUTPUT_DIR: outputDir},
	nonSemVerExperiments: {observeRunsFromConfig: true},
	async observeRun({events}) {
		await recordOutput(events, outputDir);
	},
};

export default config;
