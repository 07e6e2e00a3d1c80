/**
 * A process is killed while a requester reads an answer that has no length and ends with its connection. Checks that an
 * answer that ends early does not look complete.
 */
/* eslint-disable camelcase, no-await-in-loop -- The names are those of the platform. */
import {Buffer} from 'node:buffer';
import {spawn, spawnSync} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {
	hasTrouble, runCase, send, sleep, Upstream,
} from '../common-2/lab.mjs';

const folder = fileURLToPath(new URL('.', import.meta.url));

/** Size of an answer: the largest one of the `download` requests on a site of our users, in bytes. */
const answerBytes = 540_000;

/** Number of such answers that are read, each of another process, and of ordinary ones before each of them: 1 in 21 answers has no length. */
const rounds = 6;
const ordinary = 20;

const restartMs = 400;

await runCase(folder, async lab => {
	if (spawnSync('python3', ['--version']).status !== 0) {
		throw new Error('needs python3 for a requester with segments of 1,460 bytes');
	}

	lab.config.routes.push({
		name: 'download', host: 'desk.example', path_prefix: '/download/', kind: 'download', timeout_s: 8, target_latency_s: 1, priority: 2, service: 'ledger', max_attempts: 2,
	});
	const body = Buffer.alloc(answerBytes, 'd');
	const run = async ({req, res, id, upstream}) => {
		await sleep(20);
		if (!req.url.startsWith('/download/')) {
			res.writeHead(200, {'x-attempt-id': id, 'x-response-seal': `${upstream.id}.${id}.200`, 'content-length': 4}).end('done');
			return;
		}

		req.socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Response-Seal: ${upstream.id}.${id}.200\r\nConnection: close\r\n\r\n`);
		req.socket.end(body);
	};

	await lab.start({
		gateways: [{name: 'edge-a-1', zone: 'a'}, {name: 'edge-b-1', zone: 'b'}, {name: 'edge-b-2', zone: 'b'}],
		upstreams: [new Upstream('i-a1', 'ledger', 'a', {run}), new Upstream('i-b1', 'ledger', 'b', {run})],
	});
	let looksWhole = 0;
	let whole = 0;
	for (let round = 1; round <= rounds; round += 1) {
		const id = `d-${round}`;
		const gateway = lab.gateways[round % lab.gateways.length];
		for (let i = 1; i <= ordinary; i += 1) {
			await send({port: gateway.callers, path: `/read/${id}-${i}`, headers: {'x-attempt-id': `${id}-${i}`, 'x-deadline-ms': '2500'}});
		}

		const requester = spawn('python3', [fileURLToPath(new URL('requester.py', import.meta.url)), String(gateway.callers), id], {stdio: ['ignore', 'pipe', 'inherit']});
		let result;
		for await (const line of createInterface({input: requester.stdout})) {
			if (line !== 'begun') {
				result = JSON.parse(line);
			} else if (hasTrouble) {
				gateway.kill('SIGKILL');
			}
		}

		const {head, bytes, ended} = result;
		const hasLength = head.some(field => /^(?:content-length|transfer-encoding):/iv.test(field));
		const isSuccess = head[0].startsWith('HTTP/1.1 2') && head.some(field => /^x-response-seal:/iv.test(field));
		const isCut = bytes < answerBytes;
		whole += isSuccess && !isCut ? 1 : 0;
		looksWhole += isSuccess && isCut && !hasLength && ended === 'end' ? 1 : 0;
		lab.record(`${id}: ${JSON.stringify(head)}, ${bytes} of ${answerBytes} bytes, then ${ended}`);
		if (hasTrouble && round < rounds) {
			await sleep(restartMs);
			gateway.start();
			await sleep(3000);
		}
	}

	lab.record(`answers ${rounds}, whole ${whole}, cut but complete by their form ${looksWhole}`);
	return looksWhole === 0;
});
