import {
	LogService, LogTruncated, LogUnavailable, type LogPage,
} from '@bluebellyard/coordination';
import {ManualClock} from '@bluebellyard/core';
import test from 'ava';
import {Counter, MemoryCounters} from '../metrics/index.js';
import {MeteredLog} from './metered-log.js';

class StubLog extends LogService {
	err: Error | undefined;

	override async append(): Promise<number> {
		return this.answer(1);
	}

	override async read(): Promise<LogPage> {
		return this.answer({first: 1, next: 1, records: []});
	}

	async close(): Promise<void> {
		this.err = new LogUnavailable('closed', false);
	}

	private answer<T>(value: T): T {
		if (this.err !== undefined) {
			throw this.err;
		}

		return value;
	}
}

test('failed log requests are counted and the age of the last read grows', async t => {
	const clock = new ManualClock(0);
	const counters = new MemoryCounters();
	const stub = new StubLog();
	const log = new MeteredLog(stub, counters, () => clock.now());
	clock.advance(10);
	await log.read(1, 1, 0);
	t.is(log.ageMs, 0);
	stub.err = new LogUnavailable('down', true);
	clock.advance(5);
	await t.throwsAsync(log.read(1, 1, 0), {is: stub.err});
	await t.throwsAsync(log.append(['a']), {is: stub.err});
	t.is(log.ageMs, 5);
	t.is(counters.value(Counter.LogErrors), 2);
	await t.throwsAsync(log.read(1, 1, 0, AbortSignal.abort()));
	stub.err = new LogTruncated(5, 9);
	await t.throwsAsync(log.read(1, 1, 0), {is: stub.err});
	t.is(counters.value(Counter.LogErrors), 2);
});
