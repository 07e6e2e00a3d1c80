import {setTimeout as sleep} from 'node:timers/promises';
import {call, machineClock} from '@bluebellyard/standins';
import type {Deployment} from './deployment.js';

const pollPeriodMs = 50;
const settleTimeoutMs = 30_000;

/** Waits until each instance answers each path with status 200. On timeout, throws an error with the first failed probes. */
export async function waitUntilSettled(deployment: Deployment, paths: readonly string[]): Promise<void> {
	const deadline = machineClock.now() + settleTimeoutMs;
	let failures = await probeAll(deployment, paths);
	while (failures.length > 0) {
		if (machineClock.now() > deadline) {
			throw new Error(`The deployment did not settle in time: ${failures.slice(0, 5).join(', ')}`);
		}

		// eslint-disable-next-line no-await-in-loop -- polls
		await sleep(pollPeriodMs);
		// eslint-disable-next-line no-await-in-loop -- polls
		failures = await probeAll(deployment, paths);
	}
}

async function probeAll(deployment: Deployment, paths: readonly string[]): Promise<string[]> {
	const failures: string[] = [];
	for (const addr of deployment.callerAddrs) {
		for (const path of paths) {
			// eslint-disable-next-line no-await-in-loop -- one at a time, because cold targets accept few requests
			const failure = await probePath(addr, path);
			if (failure !== undefined) {
				failures.push(`${path} at ${addr}: ${failure}`);
			}
		}
	}

	return failures;
}

/** Returns why the path was not answered, or undefined if it was. */
async function probePath(addr: string, path: string): Promise<string | undefined> {
	const answer = await call(addr, path).catch(() => undefined);
	if (answer?.status === 200) {
		return undefined;
	}

	return answer === undefined ? 'no answer' : String(answer.headers['x-reason'] ?? answer.status);
}
