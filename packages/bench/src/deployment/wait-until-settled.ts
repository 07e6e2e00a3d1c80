import {setTimeout as sleep} from 'node:timers/promises';
import {call, machineClock} from '@bluebellyard/standins';
import type {Deployment} from './deployment.js';

const pollPeriodMs = 50;
const settleTimeoutMs = 30_000;

/** Waits until each path is answered by each instance; throws, with the last refusals, when that takes too long. */
export async function waitUntilSettled(deployment: Deployment, paths: readonly string[]): Promise<void> {
	const deadline = machineClock.now() + settleTimeoutMs;
	let refusals = await probe(deployment, paths);
	while (refusals.length > 0) {
		if (machineClock.now() > deadline) {
			throw new Error(`The deployment did not settle: ${refusals.slice(0, 5).join(', ')}`);
		}

		// eslint-disable-next-line no-await-in-loop -- polls
		await sleep(pollPeriodMs);
		// eslint-disable-next-line no-await-in-loop -- polls
		refusals = await probe(deployment, paths);
	}
}

async function probe(deployment: Deployment, paths: readonly string[]): Promise<string[]> {
	const refusals: string[] = [];
	for (const addr of deployment.callerAddrs) {
		for (const path of paths) {
			// eslint-disable-next-line no-await-in-loop -- one at a time, for targets may be cold
			const refusal = await refusalOf(addr, path);
			if (refusal !== undefined) {
				refusals.push(`${path} at ${addr}: ${refusal}`);
			}
		}
	}

	return refusals;
}

async function refusalOf(addr: string, path: string): Promise<string | undefined> {
	const answer = await call(addr, path).catch(() => undefined);
	if (answer?.status === 200) {
		return undefined;
	}

	return answer === undefined ? 'no answer' : String(answer.headers['x-reason'] ?? answer.status);
}
