import process from 'node:process';
import {command} from 'cmd-ts';
import {runColdStart} from '../experiments/cold-start.js';
import {runDeparture} from '../experiments/departure.js';
import type {ExperimentResult} from '../experiments/experiment.js';
import {runOverload} from '../experiments/overload.js';
import {runStragglers} from '../experiments/stragglers.js';
import {runPolicy} from '../policy/index.js';
import {seedOption} from './seed.js';

/** Creates a command that runs one experiment. Its exit code is 1 if a goal is missed or the ledgers show a violation. */
function createExperimentCommand(name: string, description: string, run: (seed: number) => Promise<ExperimentResult>) {
	return command({
		name,
		description,
		args: {seed: seedOption},
		async handler({seed}) {
			const result = await run(seed);
			process.stdout.write(`${JSON.stringify(result, undefined, '\t')}\n`);
			const isMet = result.aims.every(aim => aim.met) && result.violations.length === 0;
			process.exitCode = isMet ? 0 : 1;
		},
	});
}

const policyCommand = command({
	name: 'policy',
	description: 'comparison of several routing policies in simulated time',
	args: {seed: seedOption},
	handler({seed}) {
		const report = runPolicy(seed);
		process.stdout.write(`${JSON.stringify(report, undefined, '\t')}\n`);
		const isMet = report.experiments.flatMap(experiment => experiment.aims).every(aim => aim.met);
		process.exitCode = isMet ? 0 : 1;
	},
});

/** Commands of the policy experiments. */
export const experimentCommands = {
	coldstart: createExperimentCommand('coldstart', 'a target restarted cold under load', runColdStart),
	departure: createExperimentCommand('departure', 'planned departure and return of a failure domain', runDeparture),
	overload: createExperimentCommand('overload', 'load of three times the capacity', runOverload),
	stragglers: createExperimentCommand('stragglers', 'targets ten times slower than the others', runStragglers),
	policy: policyCommand,
};
