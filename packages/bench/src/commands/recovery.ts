import process from 'node:process';
import {
	command, option, optional, string,
} from 'cmd-ts';
import {runRecovery} from '../recovery/run-recovery.js';
import {seedOption} from './seed.js';

/** Prints the unavailable time per key after each kind of fault. */
export const recoveryCommand = command({
	name: 'recovery',
	description: 'unavailable time per key after a lost target, instance, failure domain or log',
	args: {
		seed: seedOption,
		only: option({long: 'only', type: optional(string), description: 'runs only the scenario of this name'}),
	},
	async handler({seed, only}) {
		const result = await runRecovery(seed, only);
		console.log(JSON.stringify(result, undefined, '\t'));
		const hasViolations = result.scenarios.some(({violations}) => violations.length > 0);
		process.exitCode = hasViolations ? 1 : 0;
	},
});
