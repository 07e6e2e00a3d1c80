import {Buffer} from 'node:buffer';
import {
	copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {ChannelCredentials} from '@grpc/grpc-js';
import {RequestError, systemClock} from '@bluebellyard/core';
import {call} from '@bluebellyard/standins';
import test, {type ExecutionContext} from 'ava';
import {Pool} from 'undici';
import {Forwarder} from './entry/index.js';
import {makeOrder} from './mocks/orders.js';
import {
	TestCluster, waitUntil, waitUntilServed, type StartedInstance,
} from './mocks/test-cluster.js';
import {clientCredentials, PeerClient} from './peer/index.js';
import type {TlsFiles} from './settings/index.js';

const rules = 'pool p keyed shards=8 fenced=yes # Selam\nroute GET /k/{key} p # Selam\n';
const longMs = 5000;
const rightMs = 1000;

function pem(name: string): URL {
	return new URL(`../src/settings/mocks/${name}.pem`, import.meta.url);
}

const own: TlsFiles = {ca: readFileSync(pem('cert')), cert: readFileSync(pem('cert')), key: readFileSync(pem('key'))};
const foreign: TlsFiles = {...own, cert: readFileSync(pem('other-cert')), key: readFileSync(pem('other-key'))};

/** Two instances of one domain; a target whose steward is one of them. */
async function startPair(t: ExecutionContext) {
	const folder = mkdtempSync(join(tmpdir(), 'bluebellyard-'));
	t.teardown(() => {
		rmSync(folder, {recursive: true});
	});
	const files = {ca: join(folder, 'ca'), cert: join(folder, 'cert'), key: join(folder, 'key')};
	copyFileSync(pem('cert'), files.ca);
	copyFileSync(pem('cert'), files.cert);
	copyFileSync(pem('key'), files.key);
	const cluster = await new TestCluster(t).start();
	await cluster.startTarget('t', 'a', {serviceMs: 1});
	const sections = {tls: {mode: 'mutual', ...files}};
	const pair = [await cluster.startInstance('i1', 'a', sections), await cluster.startInstance('i2', 'a', sections)];
	await cluster.publishRules(rules);
	for (const {addr} of pair) {
		// eslint-disable-next-line no-await-in-loop
		await waitUntilServed(addr, '/k/1');
	}

	await waitUntil(() => pair[0].instance.host.member.memberIds().length === 2, () => 'two members');
	return {cluster, pair, files};
}

function rowOf({instance}: StartedInstance) {
	const {member} = instance.host;
	return member.tables.instances.get(member.id)!;
}

/** Whether the right of both is renewed without the log: heartbeats are answered. */
async function untilHeartbeats(cluster: TestCluster, pair: readonly StartedInstance[]): Promise<void> {
	await cluster.setLogDown(true);
	const from = systemClock.now() + (1.5 * rightMs);
	await waitUntil(() => pair.every(({instance}) => instance.host.member.rightUntil() > from), () => 'rights renewed by heartbeats');
	await cluster.setLogDown(false);
}

test.serial('instances with keys forward requests and answer heartbeats', async t => {
	const {cluster, pair} = await startPair(t);
	await untilHeartbeats(cluster, pair);
	for (const {addr} of pair) {
		// eslint-disable-next-line no-await-in-loop
		const answer = await call(addr, '/k/2');
		t.is(answer.status, 200);
	}
});

test.serial('a process without a certificate of the authority is refused on both ports', async t => {
	const {pair} = await startPair(t);
	const {peerAddr, internalAddr} = rowOf(pair[0]);
	const hasState = async (credentials: ChannelCredentials) => {
		const client = new PeerClient(peerAddr, credentials);
		const state = await client.fetchState(longMs);
		client.close();
		return state !== undefined;
	};

	const anyServer = {checkServerIdentity: () => undefined};
	t.true(await hasState(clientCredentials(own)));
	t.false(await hasState(ChannelCredentials.createInsecure()));
	t.false(await hasState(ChannelCredentials.createSsl(own.ca, null, null, anyServer)));
	t.false(await hasState(clientCredentials(foreign)));
	const now = () => systemClock.now();
	for (const tls of [undefined, foreign]) {
		const forwarder = new Forwarder(tls, now);
		// eslint-disable-next-line no-await-in-loop
		await t.throwsAsync(forwarder.forward(internalAddr, 't', makeOrder({deadline: now() + longMs})), {instanceOf: RequestError});
		// eslint-disable-next-line no-await-in-loop
		await forwarder.close();
	}

	const nameless = new Pool(`https://${internalAddr}`, {connect: {ca: own.ca, ...anyServer}});
	await t.throwsAsync(nameless.request({method: 'GET', path: '/k/1'}));
	await nameless.destroy();
});

test.serial('keys are replaced while requests run, and those of the former authority end', async t => {
	const {cluster, pair, files} = await startPair(t);
	const done = new AbortController();
	const load = Promise.all(pair.map(async ({addr}) => {
		const reasons: unknown[] = [];
		while (!done.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			const {headers, status} = await call(addr, `/k/${reasons.length}`);
			reasons.push(status === 200 ? 'ok' : headers['x-reason']);
		}

		return reasons;
	}));
	const reload = async () => {
		for (const {instance} of pair) {
			// eslint-disable-next-line no-await-in-loop
			await instance.reloadTls();
		}
	};

	writeFileSync(files.ca, Buffer.concat([own.ca, foreign.cert]));
	await reload();
	copyFileSync(pem('other-cert'), files.cert);
	copyFileSync(pem('other-key'), files.key);
	await reload();
	copyFileSync(pem('other-cert'), files.ca);
	await reload();
	await untilHeartbeats(cluster, pair);
	done.abort();
	const reasons = await load;
	t.deepEqual([...new Set(reasons.flat())], ['ok']);
	const old = new PeerClient(rowOf(pair[0]).peerAddr, clientCredentials({...own, ca: foreign.cert}));
	t.is(await old.fetchState(longMs), undefined);
	old.close();
});
