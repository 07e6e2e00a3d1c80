import {FakeLog, FakeLogServer} from '@bluebellyard/coordination/mocks';
import {
	createRecord, encodeRecord, RecordKind, systemClock,
} from '@bluebellyard/core';
import test, {type ExecutionContext} from 'ava';
import {configureLogging, LogLevel} from '../logging/index.js';
import {MemoryCounters} from '../metrics/index.js';
import {testTiming} from '../mocks/members.js';
import {waitUntil} from '../mocks/test-cluster.js';
import {clientCredentials, PeerClients} from '../peer/index.js';
import {MemberHost} from './member-host.js';

/** Starts a host on a log; nothing listens at its membership list. Stops both at the end of the test. */
async function startHost(t: ExecutionContext, log: FakeLog): Promise<MemberHost> {
	configureLogging({level: LogLevel.Silent});
	const server = new FakeLogServer(log);
	const peers = new PeerClients(clientCredentials(undefined));
	const host = new MemberHost({
		self: {
			name: 'i', domain: 'a', peerAddr: '127.0.0.1:9', internalAddr: '127.0.0.1:9', controlAddr: '127.0.0.1:9',
		},
		timing: testTiming,
		logOrigin: await server.start(),
		membershipOrigin: 'http://127.0.0.1:9',
		clock: systemClock,
		random: () => 0.5,
		peers,
		counters: new MemoryCounters(),
		connections: 1,
		retentionMs: 60_000,
		peerAddrs: [],
	});
	host.start();
	t.teardown(async () => {
		await host.stop();
		peers.close();
		await server.stop();
	});
	return host;
}

// The instance went on with its right renewed by the log that no longer held its records.
test('an instance stops acting when the log has lost records that it read', async t => {
	const log = new FakeLog();
	const host = await startHost(t, log);
	await waitUntil(() => host.member.memberIds().length === 1, () => 'the instance joined');
	await waitUntil(() => host.member.rightUntil() > systemClock.now(), () => 'the instance may act');
	const {folded} = host;
	log.isDown = true;
	log.restore(folded);
	log.foreign(encodeRecord(createRecord({kind: RecordKind.Config, base: 0, text: ''}, 'config', 'operator')));
	log.isDown = false;
	await waitUntil(() => !host.isReady, () => 'the instance is not ready');
	t.is(host.member.rightUntil(), -Infinity);
	t.false(host.member.answerHeartbeat(host.member.id, systemClock.now()).vouches);
	t.false(await host.hasFolded(folded, []));
	t.is(host.encodeState(), undefined);
});
