import {setTimeout as sleep} from 'node:timers/promises';
import {OrderEnd} from '@bluebellyard/standins';
import test from 'ava';
import type {InstancePlan} from '../deployment/index.js';
import {CellHarness, listFailures} from './cell-harness.js';
import {assertRecovered} from './assert-recovered.js';

const target = 'tickets-1';
const domain = 'south';
const beforeDrainMs = 400;
const beforeFaultMs = 400;
const underFault = {durationMs: 2500, repeats: 3};

let site: CellHarness;

test.before(async () => {
	site = await CellHarness.start();
});

test.after.always(async () => {
	await site?.stop();
});

async function shardsOfDomainAre(what: string, isSo: (shards: number) => boolean): Promise<void> {
	await site.waitUntil(what, statuses => statuses.every(status =>
		status?.targets.filter(row => row.domain === domain).every(row => isSo(row.shards))));
}

async function beganIn(since: number): Promise<number> {
	const orders = await site.fetchOrders(domain);
	return orders.filter(order => order.started > since && order.end !== OrderEnd.NotRun).length;
}

test.serial('a drained domain gets no new order, cuts nothing and comes back', async t => {
	const views = await site.sendLoadDuring({durationMs: 2500, repeats: 0}, async () => {
		await sleep(beforeDrainMs);
		const {code} = await site.deployment.runCtl('drain', 'domain', domain, '--who', 'cells', '--wait');
		t.is(code, 0);
	});
	t.deepEqual(listFailures(views), []);
	await shardsOfDomainAre('it owns nothing', shards => shards === 0);
	const drained = await site.fetchOrders(domain);
	const last = Math.max(...drained.map(order => order.started));
	t.deepEqual(listFailures(await site.sendLoad({durationMs: 1500, repeats: 0})), []);
	t.is(await beganIn(last), 0);
	t.deepEqual(drained.filter(order => order.end === OrderEnd.Aborted), []);

	const {code} = await site.deployment.runCtl('return', 'domain', domain, '--wait');
	t.is(code, 0);
	await shardsOfDomainAre('it owns shards again', shards => shards > 0);
	await site.waitUntilSettled();
	t.deepEqual(listFailures(await site.sendLoad({durationMs: 1000, repeats: 0})), []);
	t.true(await beganIn(last) > 0);
	const {violations} = await site.checkLedgers();
	t.deepEqual(violations, []);
});

test.serial('SIGTERM of an instance under load fails no request', async t => {
	const {name} = await site.findSteward(target);
	const {plan} = site.deployment.instances.get(name)!;
	const codes: Array<number | null> = [];
	const views = await site.sendLoadDuring({durationMs: 2000, repeats: 0}, async () => {
		await sleep(beforeFaultMs);
		codes.push(await site.deployment.stopInstance(name));
	});
	t.deepEqual(codes, [0]);
	t.deepEqual(listFailures(views), []);
	await site.deployment.startInstance(plan);
	await assertRecovered(t, site);
});

async function restart(plan: InstancePlan): Promise<number | null> {
	const code = await site.deployment.stopInstance(plan.name);
	await site.deployment.startInstance(plan);
	await site.waitUntil('all are ready', statuses => statuses.every(status => status?.ready));
	return code;
}

test.serial('all instances restarted one after another keep the configuration', async t => {
	const [config] = await site.fetchConfigOffsets();
	// A restart takes its entry out of the map and puts it in again.
	const plans = Array.from(site.deployment.instances.values(), ({plan}) => plan);
	for (const plan of plans) {
		// eslint-disable-next-line no-await-in-loop -- one after another
		const [code] = await Promise.all([restart(plan), site.sendLoad({durationMs: 1000, repeats: 3})]);
		t.is(code, 0);
	}

	t.deepEqual(await site.fetchConfigOffsets(), [config]);
	await assertRecovered(t, site);
});

test.serial('SIGKILL of a steward soon after the replacement of its neighbour', async t => {
	const {name} = await site.findSteward(target);
	const {plan: lost} = site.deployment.instances.get(name)!;
	const neighbour = [...site.deployment.instances.values()].find(({plan}) => plan.domain === lost.domain && plan.name !== name)!;
	t.is(await site.deployment.stopInstance(neighbour.plan.name), 0);
	await site.deployment.startInstance(neighbour.plan);
	await site.waitUntilSettled();
	await site.sendLoadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		await site.deployment.killInstance(name);
	});
	await assertRecovered(t, site);
	await site.deployment.startInstance(lost);
});
