import {call} from '@bluebellyard/standins';
import test from 'ava';
import {TestCluster, waitUntil, waitUntilServed} from './mocks/test-cluster.js';

const rules = 'pool p keyed shards=8 fenced=yes # Selam\nroute GET /k/{key} p # Selam\n';

test('an instance that starts while the log is down serves through its peers', async t => {
	const cluster = await new TestCluster(t).start();
	await cluster.startTarget('t', 'a');
	const first = await cluster.startInstance('i1', 'a');
	const second = await cluster.startInstance('i2', 'a');
	await cluster.publishRules(rules);
	await waitUntilServed(second.addr, '/k/1');
	await waitUntil(() => first.instance.host.member.memberIds().length === 2, () => 'two members');
	await cluster.setLogDown(true);
	const {peerAddr} = first.instance.host.member.tables.instances.get(first.instance.host.member.id)!;
	const late = await cluster.startInstance('i3', 'b', {platform: {peers: `127.0.0.1:9, ${peerAddr}`}});
	const refused = await call(late.addr, '/k/1');
	t.like(refused.headers, {'x-reason': 'not-ready', 'x-outcome': 'not-run', 'retry-after': '1'});
	await waitUntilServed(late.addr, '/k/1');
	t.true(late.instance.host.isReady);
	t.deepEqual(late.instance.host.member.memberIds(), first.instance.host.member.memberIds());
	await cluster.setLogDown(false);
	await waitUntil(() => first.instance.host.member.memberIds().length === 3, () => 'three members');
	await waitUntilServed(late.addr, '/k/2');
});
