import {command} from 'cmd-ts';
import {measureIdleCosts} from '../capacity/idle-costs.js';
import {measureCoreCosts} from '../capacity/core-costs.js';
import {seedOption} from './seed.js';

/** Prints what control costs over several sizes, with the line through each. */
export const capacityCommand = command({
	name: 'capacity',
	description: 'costs of control over several numbers of instances, targets, shards and rules, with fitted lines',
	args: {seed: seedOption},
	async handler({seed}) {
		const pure = measureCoreCosts(seed);
		const idle = await measureIdleCosts();
		console.log(JSON.stringify({seed, pure, idle}, undefined, '\t'));
	},
});
