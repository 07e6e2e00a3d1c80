import {spawn} from 'node:child_process';
import {
	readdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	call, OrderEnd, ServiceShape, TargetKind,
} from '@bluebellyard/standins';
import test from 'ava';
import {Child, startChild} from './child.js';
import {readCpuTimeMs} from './cpu-time.js';
import {Deployment} from './deployment.js';
import {formatInstanceSettings} from './instance-settings.js';
import {createOutputFolder} from './output-folder.js';
import {scripts} from './scripts.js';
import {planInstances, planTargets} from './topology.js';

const topology = {
	domains: ['a', 'b'],
	instancesPerDomain: 2,
	pools: [{
		name: 'p', targets: 3, options: {kind: TargetKind.Shared, serviceMs: 60_000, serviceShape: ServiceShape.Fixed},
	}],
	rules: '',
	hasJournals: true,
};

test('targets and instances are distributed over the domains', t => {
	t.deepEqual(planTargets(topology).map(({name, domain}) => [name, domain]), [['p-1', 'a'], ['p-2', 'b'], ['p-3', 'a']]);
	t.deepEqual(planInstances(topology).map(({name}) => name), ['a-entry-1', 'a-entry-2', 'b-entry-1', 'b-entry-2']);
});

test('settings contain the instance, its ports and the platform', t => {
	const platform = {log: '127.0.0.1:7', membership: '127.0.0.1:8'};
	const text = formatInstanceSettings({name: 'i', domain: 'd'}, [1, 2, 3, 4], platform, {timing: {lease: '1s'}, log: {level: 'info'}});
	for (const line of ['name=i', 'domain=d', 'callers=127.0.0.1:1', 'control=127.0.0.1:4', 'log=http://127.0.0.1:7', 'lease=1s', 'level=info']) {
		t.true(text.includes(`${line}\n`));
	}
});

async function waitForOrder(deployment: Deployment): Promise<void> {
	const [dump] = await deployment.fetchLedgers();
	return dump.entries.length === 0 ? waitForOrder(deployment) : undefined;
}

test('the ledger of a killed target is kept', async t => {
	const deployment = new Deployment(topology);
	await deployment.startPlatform();
	const [plan] = planTargets(topology);
	const {child} = await deployment.startTarget(plan);
	const work = call(child.addr, '/k', {headers: {'idempotency-key': 'r'}});
	work.catch(() => undefined);
	await waitForOrder(deployment);
	await deployment.killTarget('p-1');
	await t.throwsAsync(work);
	const [dump] = await deployment.fetchLedgers();
	t.like(dump.entries[0], {request: 'r', end: OrderEnd.Aborted, reason: 'killed'});
	const members = await call(deployment.membershipAddr, '/members');
	t.true(members.text.includes('"p-1"'));
	await deployment.stop();
});

/** A process that became ready after the others were stopped would run on and keep the test file from ending. */
test('a failed start waits for the processes that still start', async t => {
	const [pool] = topology.pools;
	const badPool = {
		...pool, name: 'bad', targets: 1, options: {...pool.options, serviceMs: Number.NaN},
	};
	const deployment = new Deployment({...topology, pools: [pool, badPool]});
	t.teardown(async () => {
		await deployment.stop();
	});
	await t.throwsAsync(deployment.startAll(), {message: /^bad-1 did not become ready/v});
	t.deepEqual([...deployment.targets.keys()].toSorted(), ['p-1', 'p-2', 'p-3']);
});

test('a paused process continues after resume and exits on request', async t => {
	const child = await startChild('log', scripts.standins, ['log']);
	child.pause();
	const stats = call(child.addr, '/stats');
	child.resume();
	const {status} = await stats;
	t.is(status, 200);
	t.true(readCpuTimeMs(child.pid) > 0);
	t.is(await child.terminate(), 0);
	t.false(child.isRunning);
});

test('a process that does not become ready is reported with what it wrote', async t => {
	await t.throwsAsync(startChild('x', scripts.standins, ['nothing']), {message: error => error.startsWith('x did not become ready: ') && error.includes('nothing')});
});

/** Blocks this process until a child has exited; Node has not yet noticed it then. */
function blockUntilExited(pid: number): void {
	// A process with threads that still run is not reported as exited, even if its state is Z, zombie.
	while (!readFileSync(`/proc/${pid}/stat`, 'utf8').includes(') Z ') || readdirSync(`/proc/${pid}/task`).length > 1) {
		// The state of the process changes without this one.
	}
}

/**
 * Node handles exits last in a turn of its event loop, those of other children that ended
 * during the turn included: such a child has exited before any of its output is read.
 */
test('a process that ends during the exit of another is reported with what it wrote', async t => {
	const folder = createOutputFolder('exits');
	t.teardown(() => {
		rmSync(folder, {recursive: true});
	});
	const script = join(folder, 'write-when-told.mjs');
	writeFileSync(script, `
		import {existsSync} from 'node:fs';
		while (!existsSync(process.argv[2])) {
			await new Promise(resolve => { setTimeout(resolve, 5); });
		}
		console.error('written');
	`);
	const [firstGate, secondGate] = [join(folder, 'first'), join(folder, 'second')];
	const first = spawn(process.execPath, [script, firstGate], {stdio: ['ignore', 'ignore', 'pipe']});
	const second = new Child('second', script, [secondGate]);
	first.stderr.once('data', () => {
		writeFileSync(secondGate, '');
		blockUntilExited(second.pid);
	});
	const ready = second.waitForReady();
	await nextTurn();
	writeFileSync(firstGate, '');
	blockUntilExited(first.pid!);
	await t.throwsAsync(ready, {message: /written/v});
});
