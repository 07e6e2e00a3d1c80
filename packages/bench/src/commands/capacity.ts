import {command} from 'cmd-ts';
import {measureIdleCosts} from '../capacity/idle-costs.js';
import {measureCoreCosts} from '../capacity/core-costs.js';
import {seedOption} from './seed.js';

/** Prints the cost of the control plane for several sizes, with a fitted line for each. */
export const capacityCommand = command({
	name: 'capacity',
	description: 'cost of the control plane for several numbers of instances, targets, shards and rules, with fitted lines',
	args: {seed: seedOption},
	async handler({seed}) {
		const pure = measureCoreCosts(seed);
		const idle = await measureIdleCosts();
		console.log(JSON.stringify({seed, pure, idle}, undefined, '\t'));
	},
});
