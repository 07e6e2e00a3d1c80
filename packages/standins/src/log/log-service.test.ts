import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import {ManualClock} from '@bluebellyard/core';
import {call, DownMode} from '../host/index.js';
import {
	LogService, type LogFaults, type LogOptions, type LogStats,
} from './log-service.js';

type Read = {first: number; next: number; records: Array<{offset: number; data: string}>};

async function withLog(options: LogOptions, use: (log: LogService) => Promise<void>): Promise<void> {
	const log = new LogService(options);
	await log.start();
	try {
		await use(log);
	} finally {
		await log.stop();
	}
}

test('an append is contiguous and starts at offset 1', async t => {
	await withLog({}, async log => {
		const a = await call(log.addr, '/records', {body: {records: ['a', 'b']}});
		const b = await call(log.addr, '/records', {body: {records: ['c']}});
		t.deepEqual([a.json(), b.json()], [{first: 1}, {first: 3}]);
		const read = await call(log.addr, '/records?from=2&limit=1');
		t.deepEqual(read.json(), {first: 1, next: 4, records: [{offset: 2, data: 'b'}]});
	});
});

test('a read at the end waits for the next record', async t => {
	await withLog({}, async log => {
		const read = call(log.addr, '/records?from=1&wait=30000');
		await call(log.addr, '/records', {body: {records: ['a']}});
		const answer = await read;
		t.is(answer.json<Read>().records.length, 1);
	});
});

test('a wait without records ends empty', async t => {
	await withLog({}, async log => {
		const read = await call(log.addr, '/records?from=1&wait=5');
		t.deepEqual(read.json(), {first: 1, next: 1, records: []});
	});
});

const retentions = [
	{name: 'count', options: {maxRecords: 1}, first: 3},
	{name: 'age', options: {maxAgeMs: 50}, first: 4},
];

for (const {name, options, first} of retentions) {
	test(`records past the retention by ${name} are gone`, async t => {
		const clock = new ManualClock();
		await withLog({...options, clock}, async log => {
			log.append(['a', 'b', 'c']);
			clock.advance(100);
			const read = await call(log.addr, '/records?from=1');
			t.is(read.status, 410);
			t.deepEqual(read.json(), {first, next: 4});
			t.is(log.append(['d']), 4);
		});
	});
}

type FaultCase = {
	readonly name: string;
	readonly faults: Partial<LogFaults>;
	/** Status of the append's answer; undefined when the connection fails. */
	readonly status: number | undefined;
	/** Records stored afterwards. */
	readonly stored: number;
};

const faultCases: FaultCase[] = [
	{
		name: 'none', faults: {}, status: 200, stored: 1,
	},
	{
		name: 'down with 503', faults: {down: DownMode.Unavailable}, status: 503, stored: 0,
	},
	{
		name: 'down with reset', faults: {down: DownMode.Reset}, status: undefined, stored: 0,
	},
	{
		name: 'down with refusal', faults: {down: DownMode.Refused}, status: undefined, stored: 0,
	},
	{
		name: 'slow', faults: {slowMs: 5}, status: 200, stored: 1,
	},
	{
		name: 'lost answer', faults: {loseAnswer: 1}, status: undefined, stored: 1,
	},
	{
		name: 'duplicate', faults: {duplicate: 1}, status: 200, stored: 2,
	},
	{
		name: 'cut from me', faults: {cut: ['me']}, status: undefined, stored: 0,
	},
	{
		name: 'cut from another', faults: {cut: ['other']}, status: 200, stored: 1,
	},
];

for (const {name, faults, status, stored} of faultCases) {
	test(`append under fault: ${name}`, async t => {
		await withLog({}, async log => {
			await log.setFaults(faults);
			const append = call(log.addr, '/records', {headers: {'x-from': 'me'}, body: {records: ['a']}});
			const answer = await append.catch(() => undefined);
			t.is(answer?.status, status);
			t.is(log.stats.records, stored);
		});
	});
}

test('a refusing log listens again at its address', async t => {
	await withLog({}, async log => {
		await call(log.addr, '/faults', {body: {down: DownMode.Refused, refusedMs: 5}});
		const isBack = async (): Promise<boolean> => {
			const stats = await call(log.addr, '/stats').catch(() => undefined);
			return stats?.status === 200 || isBack();
		};

		t.true(await isBack());
	});
});

test('a cut ends a waiting read', async t => {
	await withLog({}, async log => {
		const read = call(log.addr, '/records?from=1&wait=30000', {headers: {'x-from': 'me'}});
		read.catch(() => undefined);
		while (!log.hasWaitingReads) {
			// eslint-disable-next-line no-await-in-loop -- polls until the read arrived
			await setImmediate();
		}

		await log.setFaults({cut: ['me']});
		await t.throwsAsync(read);
	});
});

test('stats count appends', async t => {
	await withLog({}, async log => {
		log.append(['a', 'bc']);
		log.append(['d']);
		const answer = await call(log.addr, '/stats');
		t.like(answer.json<LogStats>(), {
			appends: 2, records: 3, bytes: 4, first: 1, next: 4,
		});
	});
});

test('an unknown fault switch is refused', async t => {
	await withLog({}, async log => {
		const answer = await call(log.addr, '/faults', {body: {slow: 1}});
		t.is(answer.status, 400);
	});
});
