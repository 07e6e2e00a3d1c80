import {z} from 'zod';
import type {Deployment} from '../deployment/index.js';

const statusSchema = z.object({
	targets: z.array(z.object({target: z.string(), steward: z.string()})),
});

/** Returns the name of the instance that is the steward of a target, according to the operators' status command. */
export async function fetchSteward(deployment: Deployment, target: string): Promise<string> {
	const {out} = await deployment.runCtl('status', '--json', '--timeout', '1s', '--instances', deployment.controlAddrs.join(','));
	const {targets} = statusSchema.parse(JSON.parse(out));
	const row = targets.find(status => status.target === target);
	if (!row) {
		throw new Error(`Target ${target} is missing in the status output`);
	}

	return row.steward.split('#')[0];
}
