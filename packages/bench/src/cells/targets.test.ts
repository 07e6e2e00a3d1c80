import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {CellHarness, listFailures} from './cell-harness.js';
import {keepFailedCell} from './keep-failed-cell.js';

const target = 'tickets-2';
const beforeFaultMs = 400;
const pauseMs = 1200;
const underFault = {durationMs: 2500, repeats: 3};
const afterFault = {durationMs: 500, repeats: 0};

let harness: CellHarness;

test.before(async () => {
	harness = await CellHarness.start();
});

test.after.always(async () => {
	await harness?.stop();
});

test.afterEach.always(t => {
	keepFailedCell(t, harness);
});

async function waitUntilTargetServes(): Promise<void> {
	await harness.waitUntil('the target is live and owns shards', statuses => statuses.every(status =>
		status?.targets.some(row => row.target === target && row.state === 'live' && row.shards > 0)));
}

/** Asserts that the target owns shards again, all keys are served and the ledgers show no violation. */
async function assertRecovered(t: ExecutionContext): Promise<void> {
	await waitUntilTargetServes();
	await harness.waitUntilSettled();
	t.deepEqual(listFailures(await harness.sendLoad(afterFault)), []);
	const {violations} = await harness.checkLedgers();
	t.deepEqual(violations, []);
}

test.serial('a target paused past its lease owns shards again', async t => {
	const {child} = harness.deployment.targets.get(target)!;
	await harness.sendLoadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		child.pause();
		await sleep(pauseMs);
		child.resume();
	});
	await assertRecovered(t);
});

test.serial('a target restarted cold', async t => {
	await harness.sendLoadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		await harness.deployment.setTargetFaults(target, {restartCold: true});
	});
	await assertRecovered(t);
});

test.serial('a target killed and restarted at another address', async t => {
	const {plan} = harness.deployment.targets.get(target)!;
	await harness.sendLoadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		await harness.deployment.killTarget(target);
		await harness.deployment.startTarget(plan);
	});
	await assertRecovered(t);
});
