import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {CellHarness} from './cell-harness.js';
import {assertRecovered} from './assert-recovered.js';
import {keepFailedCell} from './keep-failed-cell.js';

/** Targets in different failure domains, so that both instances of the second domain run when its steward is paused. */
const killedTarget = 'tickets-1';
const pausedTarget = 'tickets-2';
const beforeFaultMs = 400;
const pauseMs = 1500;
const underFault = {durationMs: 2500, repeats: 3};

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

test.serial('SIGKILL of a steward under load', async t => {
	const {name} = await harness.fetchSteward(killedTarget);
	const {plan} = harness.deployment.instances.get(name)!;
	await harness.sendLoadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		await harness.deployment.killInstance(name);
	});
	await assertRecovered(t, harness);
	await harness.deployment.startInstance(plan);
	await assertRecovered(t, harness);
});

test.serial('a steward paused past its eviction rejoins under a new id', async t => {
	const {name, id} = await harness.fetchSteward(pausedTarget);
	const {child} = harness.deployment.instances.get(name)!;
	const [config] = await harness.fetchConfigOffsets();
	await harness.sendLoadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		child.pause();
		await sleep(pauseMs);
		child.resume();
	});
	await harness.waitUntil('the paused instance has rejoined under a new id', statuses => statuses.some(status =>
		status?.ready && status.instance.startsWith(`${name}#`) && status.instance !== id));
	const after = await harness.fetchSteward(pausedTarget);
	t.not(after.id, id);
	await assertRecovered(t, harness);
	t.deepEqual(await harness.fetchConfigOffsets(), [config]);
});
