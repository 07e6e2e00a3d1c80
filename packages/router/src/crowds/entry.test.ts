/**
 * Guards against a router process that ends at its heap limit or exceeds its memory: requests that are sent ahead, answers
 * that are not read and bodies that stop short of their end are held in it.
 */
import {Buffer} from 'node:buffer';
import {
	countSockets, Crowd, readPeakMb, repeatBytes, ServiceShape,
} from '@bluebellyard/standins';
import test, {type ExecutionContext} from 'ava';
import {startInstanceProcess, type InstanceProcess} from '../mocks/instance-process.js';
import {TestCluster, waitUntilServed} from '../mocks/test-cluster.js';

const rules = 'pool p keyed shards=8 slots=4 fenced=yes timeout=5s # Selam\nroute GET /k/{key} p # Selam\nroute POST /k/{key} p # Selam\n';

const memoryMb = 350;

const maxSockets = 3900;

async function startRouter(t: ExecutionContext): Promise<InstanceProcess> {
	const cluster = await new TestCluster(t).start();
	await cluster.startTarget('t', 'a', {slots: 4, serviceMs: 20, serviceShape: ServiceShape.Fixed});
	const router = await startInstanceProcess(t, cluster.settingsText('i1', 'a'), ['--max-old-space-size=80']);
	await cluster.publishRules(rules);
	await waitUntilServed(router.addr, '/k/1');
	return router;
}

/** Sends an ordinary request to a process. Returns what does not hold: that it lives within its memory and descriptors, and answers. */
async function findFaults(t: ExecutionContext, {addr, child}: InstanceProcess): Promise<string[]> {
	const hasEnded = () => child.exitCode !== null || child.signalCode !== null;
	const status = hasEnded() ? 0 : await waitUntilServed(addr, '/k/1').then(answer => answer.status, String);
	if (hasEnded()) {
		return [`the process has ended: ${child.exitCode ?? child.signalCode}`];
	}

	const peakMb = readPeakMb(child.pid!);
	const sockets = countSockets(child.pid!);
	t.log(`peak of memory ${peakMb} MB, ${sockets} sockets, ordinary request answered ${status}`);
	return [
		...(status === 200 ? [] : [`an ordinary request was answered with ${status}`]),
		...(peakMb <= memoryMb ? [] : [`the process took ${peakMb} MB`]),
		...(sockets <= maxSockets ? [] : [`the process has ${sockets} sockets open`]),
	];
}

function formatHead(method: string, ...lines: readonly string[]): Buffer {
	return Buffer.from([`${method} /k/1 HTTP/1.1`, 'Host: desk.example', ...lines, '', ''].join('\r\n'));
}

test('requests are sent ahead to a router and their answers not read', async t => {
	const router = await startRouter(t);
	const crowd = await new Crowd(Number(router.addr.split(':')[1])).open(4, repeatBytes(formatHead('GET'), 100_000)).settle();
	t.deepEqual(await findFaults(t, router), []);
	crowd.leave();
	t.deepEqual(await findFaults(t, router), []);
});

test('many connections send requests ahead to a router and read nothing', async t => {
	const router = await startRouter(t);
	const crowd = await new Crowd(Number(router.addr.split(':')[1])).open(100, repeatBytes(formatHead('GET'), 1500)).settle();
	t.deepEqual(await findFaults(t, router), []);
	crowd.leave();
	t.deepEqual(await findFaults(t, router), []);
});

test('many bodies at a router stop short of their end', async t => {
	const router = await startRouter(t);
	const crowd = await new Crowd(Number(router.addr.split(':')[1]))
		.open(600, formatHead('POST', 'Idempotency-Key: crowd', 'Content-Length: 1048576'), Buffer.alloc(1_048_575, '.'))
		.settle();
	t.deepEqual(await findFaults(t, router), []);
	crowd.leave();
	t.deepEqual(await findFaults(t, router), []);
});
