/** Guards against calls that wait for ever, or take all memory, as the answer of the log does not end. */
import test from 'ava';
import {LogUnavailable} from '../log-service/index.js';
import {endlessBodies, startEndlessServer} from '../mocks/index.js';
import {HttpLogService} from './http-log-service.js';

for (const body of endlessBodies) {
	// The long timeout lets the many bytes come to their limit.
	test(`an answer without end is none: ${body.bytes} bytes at a time`, async t => {
		const server = await startEndlessServer(body);
		const log = new HttpLogService({origin: `http://${server.addr}`, timeoutMs: body.bytes === 1 ? 300 : 60_000, connections: 1});
		t.teardown(async () => {
			await log.close();
			server.stop();
		});
		await t.throwsAsync(log.read(1, 10, 0), {instanceOf: LogUnavailable});
		await t.throwsAsync(log.append(['r']), {instanceOf: LogUnavailable});
	});
}
