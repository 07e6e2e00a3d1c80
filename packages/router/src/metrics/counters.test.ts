import {once} from 'node:events';
import {createSocket} from 'node:dgram';
import test from 'ava';
import {
	answerTable, ErrorKind, retryKind, RetryReason,
} from '@bluebellyard/core';
import {
	Counter, Gauge, refusalCounterName, retryCounterName,
} from './counters.js';
import {MemoryCounters} from './memory-counters.js';
import {StatsdCounters} from './statsd-counters.js';

test('every refusal has its counter and its row in the answer table', t => {
	const counters = new MemoryCounters();
	for (const kind of Object.values(ErrorKind)) {
		counters.countRefusal(kind);
		t.is(counters.value(refusalCounterName(kind)), 1);
		t.truthy(answerTable[kind]);
	}

	t.is(Object.keys(counters.values()).length, Object.values(ErrorKind).length);
});

test('every retry reason has its counter and its row in the answer table', t => {
	const counters = new MemoryCounters();
	for (const reason of Object.values(RetryReason)) {
		counters.countRetry(reason);
		t.is(counters.value(retryCounterName(reason)), 1);
		t.truthy(answerTable[retryKind[reason]]);
	}

	t.is(Object.keys(counters.values()).length, Object.values(RetryReason).length);
});

test('no two counters share a name', t => {
	const names = [
		...Object.values(ErrorKind).map(kind => refusalCounterName(kind)),
		...Object.values(RetryReason).map(reason => retryCounterName(reason)),
		...Object.values(Counter),
		...Object.values(Gauge),
	];
	t.is(new Set(names).size, names.length);
});

test('statsd receives sums', async t => {
	const server = createSocket('udp4');
	server.bind(0, '127.0.0.1');
	await once(server, 'listening');
	const counters = new StatsdCounters({host: '127.0.0.1', port: server.address().port, prefix: 'bb.'});
	counters.countRefusal(ErrorKind.QueueFull);
	counters.countRefusal(ErrorKind.QueueFull);
	counters.countRetry(RetryReason.Hedge);
	counters.setGauge(Gauge.Ready, 1);
	const received = new Promise<string>(resolve => {
		server.once('message', message => {
			resolve(message.toString());
		});
	});
	await counters.close();
	const text = await received;
	const lines = text.split('\n').filter(line => line !== '').toSorted();
	t.deepEqual(lines, ['bb.ready:1|g', 'bb.refused.queue-full:2|c', 'bb.retried.hedge:1|c']);
	server.close();
});

test('counters go on when statsd is away', async t => {
	const gone = createSocket('udp4');
	gone.bind(0, '127.0.0.1');
	await once(gone, 'listening');
	const {port} = gone.address();
	gone.close();
	const counters = new StatsdCounters({host: '127.0.0.1', port, prefix: ''});
	counters.count(Counter.Requests);
	await counters.close();
	t.notThrows(() => {
		counters.count(Counter.Requests);
	});
});
