import {z} from 'zod';
import type {Deployment} from '../deployment/index.js';

const statusSchema = z.object({
	targets: z.array(z.object({target: z.string(), steward: z.string()})),
});

/** Name of the instance that is the steward of a target, as the operators' command shows it. */
export async function findSteward(deployment: Deployment, target: string): Promise<string> {
	const {out} = await deployment.runCtl('status', '--json', '--timeout', '1s', '--instances', deployment.controlAddrs.join(','));
	const {targets} = statusSchema.parse(JSON.parse(out));
	const row = targets.find(each => each.target === target);
	if (!row) {
		throw new Error(`The status does not show ${target}`);
	}

	return row.steward.split('#')[0];
}
