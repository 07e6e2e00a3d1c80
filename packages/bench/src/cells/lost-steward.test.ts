import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {CellSite} from './cell-site.js';
import {isWhole} from './is-whole.js';

/** Targets in different failure domains, so that both instances of the second domain run when its steward is paused. */
const killedTarget = 'tickets-1';
const pausedTarget = 'tickets-2';
const beforeFaultMs = 400;
const pauseMs = 1500;
const underFault = {durationMs: 2500, repeats: 3};

let site: CellSite;

test.before(async () => {
	site = await CellSite.start();
});

test.after.always(async () => {
	await site?.stop();
});

test.serial('SIGKILL of a steward under load', async t => {
	const {name} = await site.stewardOf(killedTarget);
	const {plan} = site.deployment.instances.get(name)!;
	await site.loadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		await site.deployment.killInstance(name);
	});
	await isWhole(t, site);
	await site.deployment.startInstance(plan);
	await isWhole(t, site);
});

test.serial('a steward paused past its eviction rejoins under a new id', async t => {
	const {name, id} = await site.stewardOf(pausedTarget);
	const {child} = site.deployment.instances.get(name)!;
	const [config] = await site.configs();
	await site.loadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		child.pause();
		await sleep(pauseMs);
		child.resume();
	});
	await site.until('the paused instance has rejoined under a new id', statuses => statuses.some(status =>
		status?.ready && status.instance.startsWith(`${name}#`) && status.instance !== id));
	const after = await site.stewardOf(pausedTarget);
	t.not(after.id, id);
	await isWhole(t, site);
	t.deepEqual(await site.configs(), [config]);
});
