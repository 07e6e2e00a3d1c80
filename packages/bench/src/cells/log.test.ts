import {setTimeout as sleep} from 'node:timers/promises';
import {Down} from '@bluebellyard/standins';
import test, {type ExecutionContext} from 'ava';
import {CellSite, failures, lastAttempts} from './cell-site.js';

const target = 'tickets-3';
const outageMs = 3000;
const beforeFaultMs = 400;
const afterFault = {durationMs: 1000, repeats: 0};

let site: CellSite;

test.before(async () => {
	site = await CellSite.start();
});

test.after.always(async () => {
	await site?.stop();
});

async function loseLog(): Promise<void> {
	await sleep(beforeFaultMs);
	await site.deployment.setLogFaults({down: Down.Refused, refusedMs: outageMs});
}

/** Asserts that all keys are served, the configuration is unchanged and the ledgers show no violation. */
async function isWhole(t: ExecutionContext, config: number): Promise<void> {
	await site.settle();
	t.deepEqual(failures(await site.load(afterFault)), []);
	t.deepEqual(await site.configs(), [config]);
	const {violations} = await site.check();
	t.deepEqual(violations, []);
}

test.serial('a log outage of 3 s leaves no request without an owner', async t => {
	const [config] = await site.configs();
	const views = await site.loadDuring({durationMs: outageMs + 2000, repeats: 0}, loseLog);
	const withoutOwner = lastAttempts(views).filter(({reason}) => reason === 'no-owner');
	t.deepEqual(withoutOwner, []);
	await isWhole(t, config);
});

test.serial('a target killed during a log outage', async t => {
	const [config] = await site.configs();
	const {plan} = site.deployment.targets.get(target)!;
	await site.loadDuring({durationMs: outageMs + 2000, repeats: 3}, async () => {
		await loseLog();
		await sleep(beforeFaultMs);
		await site.deployment.killTarget(target);
	});
	await isWhole(t, config);
	await site.deployment.startTarget(plan);
	await isWhole(t, config);
});
