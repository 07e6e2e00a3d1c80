import {command, number, option} from 'cmd-ts';
import {runOverhead} from '../overhead/run-overhead.js';
import {seedOption} from './seed.js';

/** Prints the latency and CPU cost that the router adds to a direct call. */
export const overheadCommand = command({
	name: 'overhead',
	description: 'latency added to a direct call, and throughput per core compared with a plain pass-through proxy',
	args: {
		seed: seedOption,
		rounds: option({
			long: 'rounds', type: number, description: 'number of measurements of each path', defaultValue: () => 3, defaultValueIsSerializable: true,
		}),
		roundMs: option({
			long: 'round-ms', type: number, description: 'length of one measurement in ms', defaultValue: () => 4000, defaultValueIsSerializable: true,
		}),
	},
	async handler(options) {
		const result = await runOverhead(options);
		console.log(JSON.stringify(result, undefined, '\t'));
	},
});
