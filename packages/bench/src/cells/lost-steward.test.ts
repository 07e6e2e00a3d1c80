import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {CellHarness} from './cell-harness.js';
import {assertRecovered} from './assert-recovered.js';

/** One in each failure domain, so that the second loss finds its domain whole. */
const killedTarget = 'tickets-1';
const pausedTarget = 'tickets-2';
const beforeFaultMs = 400;
const pauseMs = 1500;
const underFault = {durationMs: 2500, repeats: 3};

let site: CellHarness;

test.before(async () => {
	site = await CellHarness.start();
});

test.after.always(async () => {
	await site?.stop();
});

test.serial('SIGKILL of a steward under load', async t => {
	const {name} = await site.findSteward(killedTarget);
	const {plan} = site.deployment.instances.get(name)!;
	await site.sendLoadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		await site.deployment.killInstance(name);
	});
	await assertRecovered(t, site);
	await site.deployment.startInstance(plan);
	await assertRecovered(t, site);
});

test.serial('a steward paused past its eviction joins again under a new id', async t => {
	const {name, id} = await site.findSteward(pausedTarget);
	const {child} = site.deployment.instances.get(name)!;
	const [config] = await site.fetchConfigOffsets();
	await site.sendLoadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		child.pause();
		await sleep(pauseMs);
		child.resume();
	});
	await site.waitUntil('it joined again', statuses => statuses.some(status =>
		status?.ready && status.instance.startsWith(`${name}#`) && status.instance !== id));
	const after = await site.findSteward(pausedTarget);
	t.not(after.id, id);
	await assertRecovered(t, site);
	t.deepEqual(await site.fetchConfigOffsets(), [config]);
});
