import {setTimeout as sleep} from 'node:timers/promises';
import {OrderEnd} from '@bluebellyard/standins';
import test from 'ava';
import type {InstancePlan} from '../deployment/index.js';
import {CellSite, failures} from './cell-site.js';
import {isWhole} from './is-whole.js';

const target = 'tickets-1';
const domain = 'south';
const beforeDrainMs = 400;
const beforeFaultMs = 400;
const underFault = {durationMs: 2500, repeats: 3};

let site: CellSite;

test.before(async () => {
	site = await CellSite.start();
});

test.after.always(async () => {
	await site?.stop();
});

async function waitForShardsOfDomain(condition: string, isMet: (shards: number) => boolean): Promise<void> {
	await site.until(condition, statuses => statuses.every(status =>
		status?.targets.filter(row => row.domain === domain).every(row => isMet(row.shards))));
}

async function countStartedOrders(since: number): Promise<number> {
	const orders = await site.ordersIn(domain);
	return orders.filter(order => order.started > since && order.end !== OrderEnd.NotRun).length;
}

test.serial('a drained domain gets no new order, cuts nothing and comes back', async t => {
	const views = await site.loadDuring({durationMs: 2500, repeats: 0}, async () => {
		await sleep(beforeDrainMs);
		const {code} = await site.deployment.ctl('drain', 'domain', domain, '--who', 'cells', '--wait');
		t.is(code, 0);
	});
	t.deepEqual(failures(views), []);
	await waitForShardsOfDomain('the drained domain owns no shards', shards => shards === 0);
	const ordersAfterDrain = await site.ordersIn(domain);
	const lastStartedAt = Math.max(...ordersAfterDrain.map(order => order.started));
	t.deepEqual(failures(await site.load({durationMs: 1500, repeats: 0})), []);
	t.is(await countStartedOrders(lastStartedAt), 0);
	t.deepEqual(ordersAfterDrain.filter(order => order.end === OrderEnd.Aborted), []);

	const {code} = await site.deployment.ctl('return', 'domain', domain, '--wait');
	t.is(code, 0);
	await waitForShardsOfDomain('the returned domain owns shards again', shards => shards > 0);
	await site.settle();
	t.deepEqual(failures(await site.load({durationMs: 1000, repeats: 0})), []);
	t.true(await countStartedOrders(lastStartedAt) > 0);
	const {violations} = await site.check();
	t.deepEqual(violations, []);
});

test.serial('SIGTERM of an instance under load fails no request', async t => {
	const {name} = await site.stewardOf(target);
	const {plan} = site.deployment.instances.get(name)!;
	const codes: Array<number | null> = [];
	const views = await site.loadDuring({durationMs: 2000, repeats: 0}, async () => {
		await sleep(beforeFaultMs);
		codes.push(await site.deployment.stopInstance(name));
	});
	t.deepEqual(codes, [0]);
	t.deepEqual(failures(views), []);
	await site.deployment.startInstance(plan);
	await isWhole(t, site);
});

async function restart(plan: InstancePlan): Promise<number | null> {
	const code = await site.deployment.stopInstance(plan.name);
	await site.deployment.startInstance(plan);
	await site.until('all instances are ready', statuses => statuses.every(status => status?.ready));
	return code;
}

test.serial('all instances restarted one after another keep the configuration', async t => {
	const [config] = await site.configs();
	// Copied, because each restart removes its entry from the map and adds a new one.
	const plans = Array.from(site.deployment.instances.values(), ({plan}) => plan);
	for (const plan of plans) {
		// eslint-disable-next-line no-await-in-loop -- one after another
		const [code] = await Promise.all([restart(plan), site.load({durationMs: 1000, repeats: 3})]);
		t.is(code, 0);
	}

	t.deepEqual(await site.configs(), [config]);
	await isWhole(t, site);
});

test.serial('SIGKILL of a steward soon after the replacement of its neighbour', async t => {
	const {name} = await site.stewardOf(target);
	const {plan: killedPlan} = site.deployment.instances.get(name)!;
	const neighbour = [...site.deployment.instances.values()].find(({plan}) => plan.domain === killedPlan.domain && plan.name !== name)!;
	t.is(await site.deployment.stopInstance(neighbour.plan.name), 0);
	await site.deployment.startInstance(neighbour.plan);
	await site.settle();
	await site.loadDuring(underFault, async () => {
		await sleep(beforeFaultMs);
		await site.deployment.killInstance(name);
	});
	await isWhole(t, site);
	await site.deployment.startInstance(killedPlan);
});
