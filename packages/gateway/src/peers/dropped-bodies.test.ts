/** Guards against a process that holds whatever other instances send, and against a link that is lost with all its calls for one body. */
import {Buffer} from 'node:buffer';
import test, {type ExecutionContext} from 'ava';
import {MemoryBudget, systemClock} from '@bluebellyard/core';
import {noBytes, type Message} from './frames.js';
import {LinkError} from './link-error.js';
import {PeerNet} from './peer-net.js';

const large = Buffer.alloc(3_000_000, '.');

/** Starts an instance that answers calls with a reply, and another one that calls it. */
async function startPair(t: ExecutionContext, reply: Message, budgets: {readonly server?: MemoryBudget; readonly client?: MemoryBudget}): Promise<{client: PeerNet; addr: string; calls: string[]}> {
	const calls: string[] = [];
	const server = new PeerNet(async (op, {bytes}) => {
		calls.push(`${op} ${bytes.length}`);
		return op === 'small' ? {value: 'done', bytes: noBytes} : reply;
	}, systemClock, {budget: budgets.server});
	const client = new PeerNet(async () => ({value: undefined, bytes: noBytes}), systemClock, {budget: budgets.client});
	t.teardown(() => {
		client.close();
		server.close();
	});
	return {client, addr: `127.0.0.1:${await server.start('127.0.0.1', 0)}`, calls};
}

test('a call for whose body there is no memory is not run, and the calls beside it are', async t => {
	const {client, addr, calls} = await startPair(t, {value: 'done', bytes: noBytes}, {server: new MemoryBudget(1_000_000)});
	const [rejected, small] = await Promise.allSettled([
		client.exchange(addr, 'large', {value: 1, bytes: large}), client.call(addr, 'small', 2),
	]);
	t.true(rejected.status === 'rejected' && rejected.reason instanceof LinkError && !rejected.reason.isSent);
	t.deepEqual(small, {status: 'fulfilled', value: 'done'});
	t.is(await client.call(addr, 'small', 3), 'done');
	t.deepEqual(calls, ['small 0', 'small 0']);
});

test('a call whose reply is dropped may have run', async t => {
	const {client, addr, calls} = await startPair(t, {value: 'done', bytes: large}, {client: new MemoryBudget(1_000_000)});
	const err = await t.throwsAsync(client.call(addr, 'large', 1), {instanceOf: LinkError});
	t.true(err.isSent);
	t.is(await client.call(addr, 'small', 2), 'done');
	t.deepEqual(calls, ['large 0', 'small 0']);
});
