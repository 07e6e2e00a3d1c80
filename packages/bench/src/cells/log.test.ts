import {setTimeout as sleep} from 'node:timers/promises';
import {DownMode} from '@bluebellyard/standins';
import test, {type ExecutionContext} from 'ava';
import {CellHarness, listFailures, getLastAttempts} from './cell-harness.js';
import {keepFailedCell} from './keep-failed-cell.js';

const target = 'tickets-3';
const outageMs = 3000;
const beforeFaultMs = 400;
const afterFault = {durationMs: 1000, repeats: 0};

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

async function stopLog(): Promise<void> {
	await sleep(beforeFaultMs);
	await harness.deployment.setLogFaults({down: DownMode.Refused, refusedMs: outageMs});
}

/** Asserts that all keys are served, the configuration is unchanged and the ledgers show no violation. */
async function assertRecovered(t: ExecutionContext, config: number): Promise<void> {
	await harness.waitUntilSettled();
	t.deepEqual(listFailures(await harness.sendLoad(afterFault)), []);
	t.deepEqual(await harness.fetchConfigOffsets(), [config]);
	const {violations} = await harness.checkLedgers();
	t.deepEqual(violations, []);
}

test.serial('a log outage of 3 s leaves no request without an owner', async t => {
	const [config] = await harness.fetchConfigOffsets();
	const views = await harness.sendLoadDuring({durationMs: outageMs + 2000, repeats: 0}, stopLog);
	const withoutOwner = getLastAttempts(views).filter(({reason}) => reason === 'no-owner');
	t.deepEqual(withoutOwner, []);
	await assertRecovered(t, config);
});

test.serial('a target killed during a log outage', async t => {
	const [config] = await harness.fetchConfigOffsets();
	const {plan} = harness.deployment.targets.get(target)!;
	await harness.sendLoadDuring({durationMs: outageMs + 2000, repeats: 3}, async () => {
		await stopLog();
		await sleep(beforeFaultMs);
		await harness.deployment.killTarget(target);
	});
	await assertRecovered(t, config);
	await harness.deployment.startTarget(plan);
	await assertRecovered(t, config);
});
