import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {CellHarness, listFailures} from './cell-harness.js';

const target = 'tickets-2';
const beforeFaultMs = 400;
const pauseMs = 1200;
const underFault = {durationMs: 2500, repeats: 3};
const afterFault = {durationMs: 500, repeats: 0};

let site: CellHarness;

test.before(async () => {
	site = await CellHarness.start();
});

test.after.always(async () => {
	await site?.stop();
});

async function untilItServes(): Promise<void> {
	await site.waitUntil('the target has shards', statuses => statuses.every(status =>
		status?.targets.some(row => row.target === target && row.state === 'live' && row.shards > 0)));
}

/** Nothing was broken, the target has shards again, and all keys are served. */
async function isWhole(t: ExecutionContext): Promise<void> {
	await untilItServes();
	await site.waitUntilSettled();
	t.deepEqual(listFailures(await site.sendLoad(afterFault)), []);
	const {violations} = await site.checkLedgers();
	t.deepEqual(violations, []);
}

test.serial('a target paused past its lease comes back', async t => {
	const {child} = site.deployment.targets.get(target)!;
	await site.sendLoadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		child.pause();
		await sleep(pauseMs);
		child.resume();
	});
	await isWhole(t);
});

test.serial('a target restarted cold', async t => {
	await site.sendLoadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		await site.deployment.setTargetFaults(target, {restartCold: true});
	});
	await isWhole(t);
});

test.serial('a target killed and started again at another address', async t => {
	const {plan} = site.deployment.targets.get(target)!;
	await site.sendLoadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		await site.deployment.killTarget(target);
		await site.deployment.startTarget(plan);
	});
	await isWhole(t);
});
