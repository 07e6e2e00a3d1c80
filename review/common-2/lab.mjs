/**
 * A small deployment for the cases of this review: the project's stand-in of the platform's store, gateways as separate
 * processes with the command of the deploy file, and small stand-ins of upstreams and requesters. Loopback addresses only.
 */
/* eslint-disable camelcase, no-await-in-loop, no-void, unicorn/no-process-exit, unicorn/prefer-switch -- The names are those of the platform; the steps of a case follow one another. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, request, Agent} from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {FakeStore} from '../../platform/dist/mocks/fake-store.js';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** Resolves after a time in milliseconds. */
export {setTimeout as sleep} from 'node:timers/promises';

/** Exit codes of a case. */
export const held = 0;
export const broken = 1;
export const couldNotRun = 2;

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Resolves to free ports of the loopback interface. */
export async function findPorts(count) {
	const servers = [];
	for (let i = 0; i < count; i += 1) {
		const server = net.createServer().listen(0, '127.0.0.1');
		await once(server, 'listening');
		servers.push(server);
	}

	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return ports;
}

/** A stand-in of an upstream: rejects what is meant for another one or for keys that it does not hold; the rest is up to `run`. */
export class Upstream {
	grants = [];
	slots = 4;
	sequence = 0;
	born = Date.now();
	state = 'ready';

	constructor(id, service, zone, {isSharded = false, run}) {
		Object.assign(this, {
			id, service, zone, isSharded, run,
		});
		this.server = createServer((req, res) => {
			void this.handle(req, res);
		});
		this.server.keepAliveTimeout = 10_000;
	}

	async start(port = 0) {
		this.server.listen(port, '127.0.0.1');
		await once(this.server, 'listening');
		this.port = this.server.address().port;
	}

	get record() {
		return JSON.stringify({
			service: this.service, address: `127.0.0.1:${this.port}`, zone: this.zone, version: 'v1', slots: this.slots, state: this.state, warmup_left_s: 0, sequence: ++this.sequence, born: this.born,
		});
	}

	holds(key) {
		return this.grants.some(({from, to, until}) => key >= from && key <= to && until > performance.now());
	}

	async handle(req, res) {
		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		const body = Buffer.concat(chunks);
		const id = req.headers['x-attempt-id'];
		const own = {...(id !== undefined && {'x-attempt-id': id}), 'x-instance-id': this.id};
		const expected = req.headers['x-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			res.writeHead(421, {...own, 'x-not-executed': '1', 'content-length': 0}).end();
		} else if (req.url === '/health') {
			res.writeHead(200, {...own, 'content-length': 0}).end();
		} else if (req.url === '/api/grant') {
			this.grant(JSON.parse(body.toString()), res);
		} else if (req.url === '/api/release') {
			const {from, to} = JSON.parse(body.toString());
			this.cutOut(from, to);
			res.writeHead(200, {'x-handover': `h-${this.id}`, 'content-length': 0}).end();
		} else if (this.isSharded && !this.holds(Number(req.headers['x-shard-key']))) {
			res.writeHead(421, {...own, 'x-not-executed': '1', 'content-length': 0}).end();
		} else {
			await this.run({
				req, res, body, id, upstream: this,
			});
		}
	}

	cutOut(from, to) {
		this.grants = this.grants.flatMap(held => held.to < from || held.from > to ? [held] : [{...held, to: from - 1}, {...held, from: to + 1}].filter(part => part.from <= part.to));
	}

	grant({from, to, fence, hold_s: holdS}, res) {
		this.fences ??= [];
		if (this.fences.some(seen => seen.from <= to && seen.to >= from && seen.fence > fence)) {
			res.writeHead(409, {'content-length': 0}).end();
			return;
		}

		this.fences.push({from, to, fence});
		this.cutOut(from, to);
		this.grants.push({
			from, to, fence, until: performance.now() + (holdS * 1000),
		});
		res.writeHead(200, {'content-length': 0}).end();
	}

	stop() {
		this.server.close();
		this.server.closeAllConnections();
	}
}

/** Gateway processes that run; killed when this process ends in any way that it can notice. */
const running = new Set();
process.on('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});
for (const signal of ['SIGTERM', 'SIGINT']) {
	process.on(signal, () => {
		process.exit(couldNotRun);
	});
}

/** A gateway process. */
export class Gateway {
	constructor(lab, name, zone, ports) {
		Object.assign(this, {lab, name, zone});
		[this.callers, this.health, this.peers] = ports;
		this.settings = path.join(lab.dir, `${name}.ini`);
		writeFileSync(this.settings, `${[
			'[instance]',
			`name=${name}`,
			`domain=${zone}`,
			'processor-share=0.54',
			'processor-speed=1',
			'link=1000',
			'[listen]',
			`callers=127.0.0.1:${this.callers}`,
			`health=127.0.0.1:${this.health}`,
			`peers=127.0.0.1:${this.peers}`,
			'[keys]',
			'hold-max=10',
			'[targets]',
			'heartbeat=1.5',
			'[retries]',
			'ratio=0.2',
			'extra=58',
			'window=10',
			'[balancing]',
			'mode=auto',
			'[admission]',
			'reservations=off',
			'[overload]',
			'cores=0.25',
			'[process]',
			`memory=${lab.memoryMb}`,
			'descriptors=4100',
			'[shutdown]',
			'grace=6',
			'[platform]',
			`store=${lab.storeAddress}`,
			`contracts=${lab.contracts}`,
		].join('\n')}\n`);
	}

	start() {
		this.child = spawn(process.execPath, ['--max-old-space-size=140', 'target/bluebellyard.mjs'], {
			cwd: root,
			env: {PATH: process.env.PATH, HOME: process.env.HOME, BLUEBELLYARD_NODE_FILE: this.settings},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		running.add(this.child);
		const log = createWriteStream(path.join(this.lab.dir, `${this.name}.log`), {flags: 'a'});
		this.child.stdout.pipe(log, {end: false});
		this.child.stderr.pipe(log, {end: false});
		const {child} = this;
		child.once('exit', (code, signal) => {
			running.delete(child);
			this.lab.record(`${this.name} ended: ${code ?? signal}`);
			this.end = code ?? signal;
		});
	}

	kill(signal) {
		this.lab.record(`${this.name} gets ${signal}`);
		this.child.kill(signal);
	}

	async isReady() {
		try {
			const {status} = await send({port: this.health, path: '/api/ready', timeoutMs: 1000});
			return status === 200;
		} catch {
			return false;
		}
	}

	get log() {
		return readFileSync(path.join(this.lab.dir, `${this.name}.log`), 'utf8');
	}
}

/** Sends a request and resolves to the answer; rejects if the connection fails before its head. */
export async function send({port, method = 'GET', path: target = '/', headers = {}, body, agent = false, timeoutMs = 10_000}) {
	return new Promise((resolve, reject) => {
		const req = request({
			host: '127.0.0.1', port, method, path: target, headers: {host: 'desk.example', ...headers, ...(body !== undefined && {'content-length': body.length})}, agent,
		}, res => {
			const chunks = [];
			res.on('data', chunk => {
				chunks.push(chunk);
			});
			const finish = isWhole => {
				clearTimeout(timer);
				resolve({
					status: res.statusCode, headers: res.headers, rawHeaders: res.rawHeaders, body: Buffer.concat(chunks).toString('latin1'), isWhole,
				});
			};

			res.once('end', () => finish(res.complete));
			res.once('error', () => finish(false));
			res.once('aborted', () => finish(false));
		});
		const timer = setTimeout(() => {
			req.destroy(new Error('no answer in time'));
		}, timeoutMs);
		req.once('error', err => {
			clearTimeout(timer);
			reject(err);
		});
		req.end(body);
	});
}

export const keepAlive = maxSockets => new Agent({keepAlive: true, maxSockets});

/** The deployment of a case. */
export class Lab {
	contracts = 'base,drain,config,cost,retry,recover,own,places,platform';
	memoryMb = 350;
	gateways = [];
	upstreams = [];
	lines = [];
	startedAt = performance.now();
	config = {
		version: '00000007',
		routes: [
			{
				name: 'read', host: 'desk.example', path_prefix: '/read/', kind: 'safe', timeout_s: 2.5, target_latency_s: 0.5, priority: 2, service: 'ledger', max_attempts: 2,
			},
			{
				name: 'close', host: 'desk.example', path_prefix: '/close/', kind: 'unsafe', timeout_s: 2.5, target_latency_s: 0.5, priority: 1, service: 'ledger', max_attempts: 2,
			},
			{
				name: 'kread', host: 'desk.example', path_prefix: '/kread/', kind: 'safe', timeout_s: 2.5, target_latency_s: 0.5, priority: 2, service: 'desk', max_attempts: 2,
			},
			{
				name: 'kclose', host: 'desk.example', path_prefix: '/kclose/', kind: 'unsafe', timeout_s: 2.5, target_latency_s: 0.5, priority: 1, service: 'desk', max_attempts: 2,
			},
		],
		services: [
			{
				name: 'ledger', health_path: '/health', max_connections: 43, warmup_s: 3, warmup_per_s: 3,
			},
			{
				name: 'desk', health_path: '/health', max_connections: 43, warmup_s: 3, warmup_per_s: 3, sharded: true, warm_s: 3,
			},
		],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15,
		},
	};

	constructor(folder) {
		this.folder = folder;
		this.dir = mkdtempSync(path.join(tmpdir(), 'review-2-'));
	}

	record(line) {
		this.lines.push(`${((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8)} ${line}`);
	}

	async start({gateways, upstreams}) {
		this.store = new FakeStore();
		this.storeAddress ??= await this.store.start();
		this.store.put('keyed.op', 'config', JSON.stringify(this.config));
		this.upstreams = upstreams;
		for (const upstream of upstreams) {
			await upstream.start();
		}

		this.beat();
		this.beats = setInterval(() => this.beat(), 1000);
		for (const {name, zone} of gateways) {
			this.gateways.push(new Gateway(this, name, zone, await findPorts(3)));
		}

		for (const gateway of this.gateways) {
			gateway.start();
		}

		const deadline = performance.now() + 25_000;
		for (const gateway of this.gateways) {
			while (!await gateway.isReady()) {
				if (performance.now() > deadline) {
					throw new Error(`${gateway.name} is not ready`);
				}

				await sleep(100);
			}
		}

		// Keys are granted, and cold upstreams warm up.
		await sleep(3000);
		this.record('the deployment is ready');
	}

	beat() {
		for (const upstream of this.upstreams) {
			if (upstream.isGone !== true) {
				this.store.put('keyed.servers', upstream.id, upstream.record);
			}
		}
	}

	async stop() {
		clearInterval(this.beats);
		for (const {child} of this.gateways) {
			if (child !== undefined && child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				await once(child, 'exit');
			}
		}

		for (const upstream of this.upstreams) {
			upstream.stop();
		}

		this.store?.stop();
	}
}

/** Runs a case and ends this process with its result. `play` resolves to whether the rule held. */
export async function runCase(folder, play) {
	const lab = new Lab(folder);
	let code = couldNotRun;
	const guard = setTimeout(() => {
		lab.record('the case took too long');
		void finish();
	}, 110_000);
	const finish = async () => {
		clearTimeout(guard);
		await lab.stop().catch(() => undefined);
		lab.record(`result: ${code}`);
		writeFileSync(path.join(folder, 'record.txt'), `${lab.lines.join('\n')}\n`);
		process.stdout.write(`${lab.lines.slice(-12).join('\n')}\n`);
		if (process.env.KEEP === undefined) {
			rmSync(lab.dir, {recursive: true, force: true});
		} else {
			process.stdout.write(`${lab.dir}\n`);
		}

		process.exit(code);
	};

	try {
		code = await play(lab) ? held : broken;
	} catch (err) {
		lab.record(`could not run: ${err instanceof Error ? err.stack : String(err)}`);
	}

	await finish();
}
