/** Guards against silent connections that take the descriptors of callers, and against callers that lose running requests to them. */
import {Socket} from 'node:net';
import test from 'ava';
import {ManualClock, MemoryBudget} from '@bluebellyard/core';
import {CallerConnections} from './caller-connections.js';

function open(connections: CallerConnections): Socket {
	const socket = new Socket();
	connections.add(socket);
	return socket;
}

test('beyond the limit the oldest silent connection is closed, one with a request never', t => {
	const clock = new ManualClock();
	const connections = new CallerConnections({clock, budget: new MemoryBudget(Number.POSITIVE_INFINITY), maxConnections: 3});
	const busy = open(connections);
	connections.startInTurn(busy, () => undefined);
	const silent = open(connections);
	clock.advance(1000);
	const fresh = open(connections);
	const next = open(connections);
	t.deepEqual([busy, silent, fresh, next].map(({destroyed}) => destroyed), [false, true, false, false]);
	for (const socket of [fresh, next]) {
		connections.startInTurn(socket, () => undefined);
	}

	t.true(open(connections).destroyed);
	t.deepEqual([busy, fresh, next].map(({destroyed}) => destroyed), [false, false, false]);
	t.is(connections.size, 3);
});

test('beyond the memory connections on which requests wait are closed, and their requests not started', t => {
	const connections = new CallerConnections({clock: new ManualClock(), budget: new MemoryBudget(400_000), maxConnections: 10});
	const [greedy, other] = [open(connections), open(connections)];
	const started: string[] = [];
	connections.startInTurn(other, () => {
		started.push('other');
	});
	for (let i = 0; i < 100; i += 1) {
		connections.startInTurn(greedy, () => {
			started.push('greedy');
		});
	}

	t.true(greedy.destroyed);
	t.false(other.destroyed);
	t.deepEqual(started, ['other', 'greedy']);
});
