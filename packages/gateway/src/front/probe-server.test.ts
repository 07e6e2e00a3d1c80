/** Guards against a part of the metrics that looks whole as the process was killed while it was written. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import test from 'ava';
import {MemoryBudget, systemClock} from '@bluebellyard/core';
import {ProbeServer} from './probe-server.js';

for (const version of ['1.0', '1.1']) {
	for (const [path, text] of [['/metrics', 'häufig 1\n'], ['/other', ''], ['/failing', 'Error: failed']] as const) {
		test(`the answer to ${path} states its length, HTTP/${version}`, async t => {
			const server = new ProbeServer(async asked => {
				if (asked === '/failing') {
					throw new Error('failed');
				}

				return asked === '/metrics' ? {status: 200, type: 'text/plain', body: text} : undefined;
			}, {clock: systemClock, budget: new MemoryBudget(Number.POSITIVE_INFINITY), maxConnections: 10});
			const port = await server.start('127.0.0.1', 0);
			t.teardown(() => {
				server.close();
			});
			const socket = connect(port, '127.0.0.1').setEncoding('utf8');
			let received = '';
			socket.on('data', (chunk: string) => {
				received += chunk;
			}).write(`GET ${path} HTTP/${version}\r\nHost: a\r\nConnection: close\r\n\r\n`);
			await once(socket, 'end');
			t.true(received.toLowerCase().includes(`\r\ncontent-length: ${Buffer.byteLength(text)}\r\n`));
			t.notRegex(received, /transfer-encoding/iv);
			t.true(received.endsWith(`\r\n\r\n${text}`));
		});
	}
}
