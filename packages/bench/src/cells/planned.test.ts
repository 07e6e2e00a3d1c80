import {setTimeout as sleep} from 'node:timers/promises';
import {OrderEnd} from '@bluebellyard/standins';
import test from 'ava';
import type {InstancePlan} from '../deployment/index.js';
import {CellHarness, listFailures} from './cell-harness.js';
import {assertRecovered} from './assert-recovered.js';
import {keepFailedCell} from './keep-failed-cell.js';

const target = 'tickets-1';
const domain = 'south';
const beforeDrainMs = 400;
const beforeFaultMs = 400;
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

async function waitForShardsOfDomain(condition: string, isMet: (shards: number) => boolean): Promise<void> {
	await harness.waitUntil(condition, statuses => statuses.every(status =>
		status?.targets.filter(row => row.domain === domain).every(row => isMet(row.shards))));
}

async function countStartedOrders(since: number): Promise<number> {
	const orders = await harness.fetchOrders(domain);
	return orders.filter(order => order.started > since && order.end !== OrderEnd.NotRun).length;
}

test.serial('a drained domain gets no new order, cuts nothing and comes back', async t => {
	const views = await harness.sendLoadDuring({durationMs: 2500, repeats: 0}, async () => {
		await sleep(beforeDrainMs);
		const {code} = await harness.deployment.runCtl('drain', 'domain', domain, '--who', 'cells', '--wait');
		t.is(code, 0);
	});
	t.deepEqual(listFailures(views), []);
	await waitForShardsOfDomain('the drained domain owns no shards', shards => shards === 0);
	const ordersAfterDrain = await harness.fetchOrders(domain);
	const lastStartedAt = Math.max(...ordersAfterDrain.map(order => order.started));
	t.deepEqual(listFailures(await harness.sendLoad({durationMs: 1500, repeats: 0})), []);
	t.is(await countStartedOrders(lastStartedAt), 0);
	t.deepEqual(ordersAfterDrain.filter(order => order.end === OrderEnd.Aborted), []);

	const {code} = await harness.deployment.runCtl('return', 'domain', domain, '--wait');
	t.is(code, 0);
	await waitForShardsOfDomain('the returned domain owns shards again', shards => shards > 0);
	await harness.waitUntilSettled();
	t.deepEqual(listFailures(await harness.sendLoad({durationMs: 1000, repeats: 0})), []);
	t.true(await countStartedOrders(lastStartedAt) > 0);
	const {violations} = await harness.checkLedgers();
	t.deepEqual(violations, []);
});

test.serial('SIGTERM of an instance under load fails no request', async t => {
	const {name} = await harness.fetchSteward(target);
	const {plan} = harness.deployment.instances.get(name)!;
	const codes: Array<number | null> = [];
	const views = await harness.sendLoadDuring({durationMs: 2000, repeats: 0}, async () => {
		await sleep(beforeFaultMs);
		codes.push(await harness.deployment.stopInstance(name));
	});
	// The next test needs all instances, also if this one fails.
	await harness.deployment.startInstance(plan);
	t.deepEqual(codes, [0]);
	t.deepEqual(listFailures(views), []);
	await assertRecovered(t, harness);
});

async function restart(plan: InstancePlan): Promise<number | null> {
	const code = await harness.deployment.stopInstance(plan.name);
	await harness.deployment.startInstance(plan);
	await harness.waitUntil('all instances are ready', statuses => statuses.every(status => status?.ready));
	return code;
}

test.serial('all instances restarted one after another keep the configuration', async t => {
	const [config] = await harness.fetchConfigOffsets();
	// Copied, because each restart removes its entry from the map and adds a new one.
	const plans = Array.from(harness.deployment.instances.values(), ({plan}) => plan);
	for (const plan of plans) {
		// eslint-disable-next-line no-await-in-loop -- one after another
		const [code] = await Promise.all([restart(plan), harness.sendLoad({durationMs: 1000, repeats: 3})]);
		t.is(code, 0);
	}

	t.deepEqual(await harness.fetchConfigOffsets(), [config]);
	await assertRecovered(t, harness);
});

test.serial('SIGKILL of a steward soon after the replacement of its neighbour', async t => {
	const {name} = await harness.fetchSteward(target);
	const {plan: killedPlan} = harness.deployment.instances.get(name)!;
	const neighbour = [...harness.deployment.instances.values()].find(({plan}) => plan.domain === killedPlan.domain && plan.name !== name)!;
	t.is(await harness.deployment.stopInstance(neighbour.plan.name), 0);
	await harness.deployment.startInstance(neighbour.plan);
	await harness.waitUntilSettled();
	await harness.sendLoadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		await harness.deployment.killInstance(name);
	});
	await assertRecovered(t, harness);
	await harness.deployment.startInstance(killedPlan);
});
