import {
	call, OrderEnd, ServiceShape, TargetKind,
} from '@bluebellyard/standins';
import test from 'ava';
import {startChild} from './child.js';
import {readCpuTimeMs} from './cpu-time.js';
import {Deployment} from './deployment.js';
import {findFreePorts} from './find-free-ports.js';
import {formatInstanceSettings} from './instance-settings.js';
import {scripts} from './scripts.js';
import {planInstances, planTargets} from './topology.js';

const topology = {
	domains: ['a', 'b'],
	instancesPerDomain: 2,
	pools: [{
		name: 'p', targets: 3, options: {kind: TargetKind.Shared, serviceMs: 60_000, serviceShape: ServiceShape.Fixed},
	}],
	rules: '',
	journals: true,
};

test('targets and instances are spread over the domains', t => {
	t.deepEqual(planTargets(topology).map(({name, domain}) => [name, domain]), [['p-1', 'a'], ['p-2', 'b'], ['p-3', 'a']]);
	t.deepEqual(planInstances(topology).map(({name}) => name), ['a-entry-1', 'a-entry-2', 'b-entry-1', 'b-entry-2']);
});

test('settings name the instance, its ports and the platform', t => {
	const platform = {log: '127.0.0.1:7', membership: '127.0.0.1:8'};
	const text = formatInstanceSettings({name: 'i', domain: 'd'}, [1, 2, 3, 4], platform, {timing: {lease: '1s'}, log: {level: 'info'}});
	for (const line of ['name=i', 'domain=d', 'callers=127.0.0.1:1', 'control=127.0.0.1:4', 'log=http://127.0.0.1:7', 'lease=1s', 'level=info']) {
		t.true(text.includes(`${line}\n`));
	}
});

test('free ports differ', async t => {
	const ports = await Promise.all([findFreePorts(4), findFreePorts(4)]);
	t.is(new Set(ports.flat()).size, 8);
});

async function untilReceived(deployment: Deployment): Promise<void> {
	const [dump] = await deployment.fetchLedgers();
	return dump.entries.length === 0 ? untilReceived(deployment) : undefined;
}

test('a killed target keeps its ledger', async t => {
	const deployment = new Deployment(topology);
	await deployment.startPlatform();
	const [plan] = planTargets(topology);
	const {child} = await deployment.startTarget(plan);
	const work = call(child.addr, '/k', {headers: {'idempotency-key': 'r'}});
	work.catch(() => undefined);
	await untilReceived(deployment);
	await deployment.killTarget('p-1');
	await t.throwsAsync(work);
	const [dump] = await deployment.fetchLedgers();
	t.like(dump.entries[0], {request: 'r', end: OrderEnd.Aborted, reason: 'killed'});
	const members = await call(deployment.membershipAddr, '/members');
	t.true(members.text.includes('"p-1"'));
	await deployment.stop();
});

test('a paused process goes on when resumed and stops when asked', async t => {
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
