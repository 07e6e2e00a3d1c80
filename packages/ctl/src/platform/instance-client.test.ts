import {once} from 'node:events';
import {createServer} from 'node:http';
import {endlessBodies, startEndlessServer} from '@bluebellyard/coordination/mocks';
import test from 'ava';
import {HttpInstanceClient} from './instance-client.js';

const status = {
	instance: 'i1#1', domain: 'a', folded: 5, config: 3, ready: true, targets: [], instances: [],
};

async function withServer(body: string, use: (address: string, paths: string[]) => Promise<void>): Promise<void> {
	const paths: string[] = [];
	const server = createServer((req, res) => {
		paths.push(req.url ?? '');
		res.end(body);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' ? address?.port : 0;
	try {
		await use(`127.0.0.1:${port}`, paths);
	} finally {
		server.close();
	}
}

test('status is fetched and unknown fields are dropped', async t => {
	await withServer(JSON.stringify({...status, more: 1}), async address => {
		t.deepEqual(await new HttpInstanceClient(5000).fetchStatus(address), status);
	});
});

test('explain escapes the path in its query', async t => {
	await withServer('{"owner":"t1"}', async (address, paths) => {
		t.deepEqual(await new HttpInstanceClient(5000).fetchExplanation(address, 'GET', '/k/a%2F&b'), {owner: 't1'});
		t.deepEqual(paths, ['/explain?method=GET&path=%2Fk%2Fa%252F%26b']);
	});
});

for (const body of ['', '{}', '{"ready": "yes"}']) {
	test(`an invalid answer is refused: ${body}`, async t => {
		await withServer(body, async address => {
			await t.throwsAsync(new HttpInstanceClient(5000).fetchStatus(address));
		});
	});
}

// Commands waited for ever, or took all memory.
for (const body of endlessBodies) {
	test(`an answer without end is an error: ${body.bytes} bytes at a time`, async t => {
		const server = await startEndlessServer(body);
		t.teardown(() => {
			server.stop();
		});
		await t.throwsAsync(new HttpInstanceClient(body.bytes === 1 ? 300 : 60_000).fetchStatus(server.addr), {
			any: true, name: body.bytes === 1 ? 'TimeoutError' : 'ResponseExceededMaxSizeError',
		});
	});
}
