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
const timeoutMs = 5000;
const rightMs = 1000;

function getPemFile(name: string): URL {
	return new URL(`../src/settings/mocks/${name}.pem`, import.meta.url);
}

const own: TlsFiles = {ca: readFileSync(getPemFile('cert')), cert: readFileSync(getPemFile('cert')), key: readFileSync(getPemFile('key'))};
const foreign: TlsFiles = {...own, cert: readFileSync(getPemFile('other-cert')), key: readFileSync(getPemFile('other-key'))};

/** Starts two instances of one failure domain and a target whose steward is one of them. */
async function startPair(t: ExecutionContext) {
	const folder = mkdtempSync(join(tmpdir(), 'bluebellyard-'));
	t.teardown(() => {
		rmSync(folder, {recursive: true});
	});
	const files = {ca: join(folder, 'ca'), cert: join(folder, 'cert'), key: join(folder, 'key')};
	copyFileSync(getPemFile('cert'), files.ca);
	copyFileSync(getPemFile('cert'), files.cert);
	copyFileSync(getPemFile('key'), files.key);
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

function getInstanceRow({instance}: StartedInstance) {
	const {member} = instance.host;
	return member.tables.instances.get(member.id)!;
}

/** Waits until the rights of both instances are renewed while the log is down, which only answered heartbeats can do. */
async function waitUntilHeartbeatsRenewRights(cluster: TestCluster, pair: readonly StartedInstance[]): Promise<void> {
	await cluster.setLogDown(true);
	const from = systemClock.now() + (1.5 * rightMs);
	await waitUntil(() => pair.every(({instance}) => instance.host.member.rightUntil() > from), () => 'rights renewed by heartbeats');
	await cluster.setLogDown(false);
}

test.serial('instances with certificates forward requests and answer heartbeats', async t => {
	const {cluster, pair} = await startPair(t);
	await waitUntilHeartbeatsRenewRights(cluster, pair);
	for (const {addr} of pair) {
		// eslint-disable-next-line no-await-in-loop
		const answer = await call(addr, '/k/2');
		t.is(answer.status, 200);
	}
});

test.serial('both ports refuse a process without a certificate of the authority', async t => {
	const {pair} = await startPair(t);
	const {peerAddr, internalAddr} = getInstanceRow(pair[0]);
	const hasState = async (credentials: ChannelCredentials) => {
		const client = new PeerClient(peerAddr, credentials);
		const state = await client.fetchState(timeoutMs);
		client.close();
		return state !== undefined;
	};

	const anyServerIdentity = {checkServerIdentity: () => undefined};
	t.true(await hasState(clientCredentials(own)));
	t.false(await hasState(ChannelCredentials.createInsecure()));
	t.false(await hasState(ChannelCredentials.createSsl(own.ca, null, null, anyServerIdentity)));
	t.false(await hasState(clientCredentials(foreign)));
	const now = () => systemClock.now();
	for (const tls of [undefined, foreign]) {
		const forwarder = new Forwarder(tls, now);
		// eslint-disable-next-line no-await-in-loop
		await t.throwsAsync(forwarder.forward(internalAddr, 't', makeOrder({deadline: now() + timeoutMs})), {instanceOf: RequestError});
		// eslint-disable-next-line no-await-in-loop
		await forwarder.close();
	}

	const clientWithoutCertificate = new Pool(`https://${internalAddr}`, {connect: {ca: own.ca, ...anyServerIdentity}});
	await t.throwsAsync(clientWithoutCertificate.request({method: 'GET', path: '/k/1'}));
	await clientWithoutCertificate.destroy();
});

test.serial('certificates and keys are replaced under load, and those of the former authority are refused', async t => {
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
	copyFileSync(getPemFile('other-cert'), files.cert);
	copyFileSync(getPemFile('other-key'), files.key);
	await reload();
	copyFileSync(getPemFile('other-cert'), files.ca);
	await reload();
	await waitUntilHeartbeatsRenewRights(cluster, pair);
	done.abort();
	const reasons = await load;
	t.deepEqual([...new Set(reasons.flat())], ['ok']);
	const clientOfFormerAuthority = new PeerClient(getInstanceRow(pair[0]).peerAddr, clientCredentials({...own, ca: foreign.cert}));
	t.is(await clientOfFormerAuthority.fetchState(timeoutMs), undefined);
	clientOfFormerAuthority.close();
});
