import {setTimeout as sleep} from 'node:timers/promises';
import {DownMode} from '@bluebellyard/standins';
import test, {type ExecutionContext} from 'ava';
import {CellHarness, listFailures, getLastAttempts} from './cell-harness.js';

const target = 'tickets-3';
const outageMs = 3000;
const beforeFaultMs = 400;
const afterFault = {durationMs: 1000, repeats: 0};

let site: CellHarness;

test.before(async () => {
	site = await CellHarness.start();
});

test.after.always(async () => {
	await site?.stop();
});

async function loseLog(): Promise<void> {
	await sleep(beforeFaultMs);
	await site.deployment.setLogFaults({down: DownMode.Refused, refusedMs: outageMs});
}

/** Nothing was broken, all keys are served, and the configuration stayed. */
async function isWhole(t: ExecutionContext, config: number): Promise<void> {
	await site.waitUntilSettled();
	t.deepEqual(listFailures(await site.sendLoad(afterFault)), []);
	t.deepEqual(await site.fetchConfigOffsets(), [config]);
	const {violations} = await site.checkLedgers();
	t.deepEqual(violations, []);
}

test.serial('the log is down for 3 s', async t => {
	const [config] = await site.fetchConfigOffsets();
	const views = await site.sendLoadDuring({durationMs: outageMs + 2000, repeats: 0}, loseLog);
	const withoutOwner = getLastAttempts(views).filter(({reason}) => reason === 'no-owner');
	t.deepEqual(withoutOwner, []);
	await isWhole(t, config);
});

test.serial('the log is down and a target is lost', async t => {
	const [config] = await site.fetchConfigOffsets();
	const {plan} = site.deployment.targets.get(target)!;
	await site.sendLoadDuring({durationMs: outageMs + 2000, repeats: 3}, async () => {
		await loseLog();
		await sleep(beforeFaultMs);
		await site.deployment.killTarget(target);
	});
	await isWhole(t, config);
	await site.deployment.startTarget(plan);
	await isWhole(t, config);
});
