import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {OrderEnd, ServiceShape} from '@bluebellyard/standins';
import test, {type ExecutionContext} from 'ava';
import {Instance} from './instance.js';
import {TestCluster, waitUntil, waitUntilServed} from './mocks/test-cluster.js';
import {parseSettings} from './settings/index.js';

const rules = 'pool p keyed shards=8 slots=4 fenced=yes timeout=30s # Selam\nroute GET,POST /k/{key} p # Selam\n';

/** Starts a target, an instance of its failure domain that will stop, and an instance of another domain. */
async function startCluster(t: ExecutionContext, lingerMs = 200) {
	const cluster = await new TestCluster(t).start();
	const target = await cluster.startTarget('t', 'a', {slots: 4, serviceMs: 1, serviceShape: ServiceShape.Fixed});
	const leaving = new Instance(parseSettings(cluster.settingsText('i1', 'a'), 'i1'), {keptConnectionsMs: 50, timeoutMs: 500, lingerMs});
	const addr = await leaving.start();
	const staying = await cluster.startInstance('i2', 'b');
	await cluster.publishRules(rules);
	await waitUntilServed(addr, '/k/1');
	await waitUntilServed(staying.addr, '/k/1');
	await target.setFaults({slowFactor: 60_000});
	const running = () => target.dump.entries.filter(({end}) => end === OrderEnd.Running).length;
	return {leaving, addr, running};
}

/** Opens a connection and sends the beginning of a request; `answer` resolves to all that is received. */
async function begin(t: ExecutionContext, addr: string, text: string): Promise<{readonly socket: Socket; readonly answer: Promise<string>}> {
	const socket = connect(Number(addr.split(':')[1]), '127.0.0.1');
	let received = '';
	socket.on('data', data => {
		received += data.toString();
	});
	socket.on('error', () => undefined);
	t.teardown(() => {
		socket.destroy();
	});
	const closed = once(socket, 'close');
	await once(socket, 'connect');
	socket.write(text);
	await sleep(50);
	return {socket, answer: closed.then(() => received)};
}

test('a request whose body does not arrive before the end of a stop is refused as not run', async t => {
	const {leaving, addr} = await startCluster(t);
	const {answer} = await begin(t, addr, 'POST /k/1 HTTP/1.1\r\nHost: a.example\r\nIdempotency-Key: r1\r\nContent-Length: 10\r\n\r\nabc');
	await leaving.stop();
	t.regex(await answer, /^HTTP\/1.1 503 .*x-outcome: not-run.*x-reason: stopping/sv);
});

test('a request that runs at the end of a stop is answered', async t => {
	const {leaving, addr, running} = await startCluster(t);
	const {answer} = await begin(t, addr, 'GET /k/1 HTTP/1.1\r\nHost: a.example\r\n\r\n');
	await waitUntil(() => running() === 1, () => `${running()} run`);
	await leaving.stop();
	t.regex(await answer, /^HTTP\/1.1 502 .*x-outcome: unknown/sv);
});

test('a request that arrives when the others have been answered is refused as not run', async t => {
	const {leaving, addr, running} = await startCluster(t, 1500);
	const {socket, answer} = await begin(t, addr, 'GET /k/1 HTTP/1.1\r\nHost: a.exa');
	const stopped = leaving.stop();
	await leaving.host.left;
	await sleep(300);
	socket.write('mple\r\n\r\n');
	t.regex(await answer, /^HTTP\/1.1 503 .*x-outcome: not-run.*x-reason: stopping/sv);
	t.is(running(), 0);
	await stopped;
});
