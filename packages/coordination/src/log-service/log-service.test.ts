import test, {type ExecutionContext} from 'ava';
import {HttpLogService} from '../http-log/index.js';
import {FakeLog, FakeLogServer} from '../mocks/index.js';
import {LogTruncated, LogUnavailable, type LogService} from './log-service.js';

type LogSetup = {
	readonly log: LogService;
	readonly fake: FakeLog;
	/** Makes the log unreachable. */
	readonly makeUnreachable: () => Promise<void>;
};

type ContractCase = {
	readonly name: string;
	readonly run: (t: ExecutionContext, setup: LogSetup) => Promise<void>;
};

const cases: ContractCase[] = [
	{
		name: 'append and read back',
		async run(t, {log}) {
			t.is(await log.append(['a', 'b']), 1);
			t.is(await log.append(['ő']), 3);
			t.deepEqual(await log.read(2, 10, 0), {
				first: 1, next: 4, records: [{offset: 2, data: 'b'}, {offset: 3, data: 'ő'}],
			});
		},
	},
	{
		name: 'a page is limited',
		async run(t, {log}) {
			await log.append(['a', 'b']);
			const page = await log.read(1, 1, 0);
			t.deepEqual([page.next, page.records.length], [3, 1]);
		},
	},
	{
		name: 'a read without records ends with an empty page after the wait',
		async run(t, {log}) {
			t.deepEqual(await log.read(1, 10, 5), {first: 1, next: 1, records: []});
		},
	},
	{
		name: 'a waiting read returns a new record',
		async run(t, {log}) {
			const page = log.read(1, 10, 60_000);
			await log.append(['a']);
			const {records} = await page;
			t.is(records.length, 1);
		},
	},
	{
		name: 'an append to an unreachable log has not run',
		async run(t, {log, makeUnreachable, fake}) {
			await makeUnreachable();
			const err = await t.throwsAsync(log.append(['a']), {instanceOf: LogUnavailable});
			t.deepEqual([err.mayHaveRun, fake.appends], [false, 0]);
			await t.throwsAsync(log.read(1, 1, 0), {instanceOf: LogUnavailable});
		},
	},
	{
		name: 'an append whose answer is lost may have run',
		async run(t, {log, fake}) {
			fake.losesAnswers = true;
			const err = await t.throwsAsync(log.append(['a']), {instanceOf: LogUnavailable});
			t.deepEqual([err.mayHaveRun, fake.appends], [true, 1]);
		},
	},
	{
		name: 'an append is stored twice under the duplicate fault',
		async run(t, {log, fake}) {
			fake.duplicates = true;
			t.is(await log.append(['a']), 1);
			const {records} = await log.read(1, 10, 0);
			t.is(records.length, 2);
		},
	},
	{
		name: 'a read of truncated records fails',
		async run(t, {log, fake}) {
			await log.append(['a', 'b', 'c']);
			fake.truncate(3);
			const err = await t.throwsAsync(log.read(1, 10, 0), {instanceOf: LogTruncated});
			t.deepEqual([err.first, err.next], [3, 4]);
			const {first} = await log.read(3, 10, 0);
			t.is(first, 3);
		},
	},
];

for (const {name, run} of cases) {
	test(`fake log: ${name}`, async t => {
		const fake = new FakeLog();
		await run(t, {
			log: fake,
			fake,
			async makeUnreachable() {
				fake.isDown = true;
			},
		});
	});

	test(`http log: ${name}`, async t => {
		const fake = new FakeLog();
		const server = new FakeLogServer(fake);
		const origin = await server.start();
		const log = new HttpLogService({origin, timeoutMs: 5000, connections: 2});
		const stopOnce = async () => {
			if (!fake.isDown) {
				fake.isDown = true;
				await server.stop();
			}
		};

		try {
			await run(t, {log, fake, makeUnreachable: stopOnce});
		} finally {
			await log.close();
			await stopOnce();
		}
	});
}
