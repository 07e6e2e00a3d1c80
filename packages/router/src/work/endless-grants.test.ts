/** Guards against grants that keep one of the few connections for them, or take all memory, as their answer does not end. */
import {endlessBodies, startEndlessServer} from '@bluebellyard/coordination/mocks';
import {EffectKind, type GrantEffect} from '@bluebellyard/core';
import test from 'ava';
import {TargetClient} from './target-client.js';

const grant: GrantEffect = {
	kind: EffectKind.Grant, target: 't', addr: '', tenure: 1, incarnation: 'i', until: 0, usableUntil: 0, isFull: true, grant: [], revoke: [], sentAt: 0,
};

for (const body of endlessBodies) {
	test(`the answer to a grant without end is none: ${body.bytes} bytes at a time`, async t => {
		const server = await startEndlessServer(body);
		const client = new TargetClient(server.addr, 1);
		t.teardown(async () => {
			await client.close();
			server.stop();
		});
		const timeoutMs = body.bytes === 1 ? 300 : 60_000;
		const grants = Array.from({length: 4}, async () => client.grant(grant, timeoutMs, 's'));
		for (const {status} of await Promise.allSettled(grants)) {
			t.is(status, 'rejected');
		}
	});
}
