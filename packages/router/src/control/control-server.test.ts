import test from 'ava';
import {request} from 'undici';
import {RouteTable} from '@bluebellyard/core';
import {ephemeralAddress} from '../mocks/limits.js';
import {makeMember, makeTables, makeTargetRow} from '../mocks/members.js';
import {ControlServer} from './control-server.js';

const rules = `pool p keyed shards=1 # Selam
route GET /tickets/{key} p # Dawit, market
`;

test('explain reports the line and the author of the rule', async t => {
	const tables = makeTables([], [makeTargetRow('t', 'self')], ['t'], rules);
	const member = makeMember(tables);
	const router = {
		match: (method: string, path: string) => new RouteTable(tables.config.rules).match(method, path),
		findShard: () => 0,
		findOwner: () => tables.targets.get('t'),
	};
	const server = new ControlServer({
		member: () => member, router, isReady: () => true, folded: () => 7, now: () => 0,
	});
	const addr = await server.start(ephemeralAddress);
	t.teardown(async () => server.stop());
	const res = await request(`http://${addr}/explain?method=GET&path=/tickets/T-1`);
	t.like(await res.body.json(), {
		matched: true, pool: 'p', route: '/tickets/{key}', line: 2, who: 'Dawit, market', key: 'T-1', shard: 0, fence: 3, target: 't', steward: 'self',
	});
});
