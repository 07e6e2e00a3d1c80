/* eslint-disable unicorn/no-process-exit -- connections of the stand-ins may be open */
/** What the scripts of the cases share. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

/** Whether the script plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Smallest share of the requests that must be served for a case to count as run. */
const minServedShare = 0.1;

/** Calls `send(n, elapsedMs)` at a steady rate, and resolves when all that it returned has ended. */
export async function sendSteadily({perSecond, forMs}, send) {
	const startedAt = Date.now();
	const pending = [];
	for (let n = 0; Date.now() - startedAt < forMs; n += 1) {
		pending.push(send(n, Date.now() - startedAt));
		// eslint-disable-next-line no-await-in-loop
		await sleep(startedAt + ((n + 1) * 1000 / perSecond) - Date.now());
	}

	await Promise.all(pending);
}

/** Returns the lines of a record about answers and runs. */
export function describeTraffic(answers, upstreams) {
	return [
		...answers.map(({id, sentAt, endedAt, status, instance, reason = ''}) => `answer ${id} ${instance} sent ${sentAt} ended ${endedAt} status ${status} ${reason}`),
		...upstreams.flatMap(({arrivals}) => arrivals).map(({id, at, upstream, result}) => `arrival ${id} at ${upstream} ${at} ${result}`),
		...upstreams.flatMap(({runs}) => runs).map(({id, at, upstream, key}) => `run ${id} at ${upstream} ${at}${key === undefined ? '' : ` key ${key}`}`),
	];
}

/**
 * Runs a case and ends the process: with 0 if the rule held, 1 if it was broken, 2 if the case could not run. `play`
 * resolves to `isBroken`, the `answers` and the lines of the record, of which the first ones are shown.
 */
export async function runCase(folder, play, stop) {
	let exitCode = 2;
	try {
		const {isBroken, answers, lines} = await play();
		writeFileSync(fileURLToPath(new URL('record.txt', folder)), `${lines.join('\n')}\n`);
		process.stdout.write(`${lines.slice(0, 6).join('\n')}\n`);
		const served = answers.filter(({status}) => status === 200).length;
		if (served < answers.length * minServedShare) {
			process.stdout.write('hardly anything was served: the case could not run\n');
		} else {
			exitCode = isBroken ? 1 : 0;
		}
	} catch (err) {
		process.stdout.write(`the case could not run: ${err.stack}\n`);
	}

	stop();
	process.exit(exitCode);
}
