/* eslint-disable camelcase -- the platform defines the names in its messages */
/**
 * A small deployment on loopback addresses: the project's gateway as separate processes, started with the command and the
 * settings template of the deploy file, and the project's stand-in of the platform's store in this process.
 */
import {spawn} from 'node:child_process';
import {
	createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {FakeStore} from '../../platform/dist/mocks/fake-store.js';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** Host name of all routes. */
export const host = 'ficu95.example';

/** Delay before a process that has ended is started again, in milliseconds. */
const restartDelayMs = 400;

/** Fields of the platform's settings that the template names, with the figures of the pages. */
const platformFields = {
	heartbeat_s: '1.5',
	'limits.cpu_share': '0.54',
	'limits.cpu_cores': '1',
	'limits.link_mbps': '1000.0',
	'bounds.hold_max_s': '10',
	'bounds.retry_budget_ratio': '0.2',
	'bounds.retry_budget_extra': '64',
	'bounds.retry_window_s': '10',
	'bounds.grace_s': '6',
	contracts: 'base,drain,config,cost,retry,recover,own,places,platform',
};

/** Instances that this process has started. */
const startedInstances = new Set();

function killAll() {
	for (const instance of startedInstances) {
		instance.isStopped = true;
		instance.child?.kill('SIGKILL');
	}
}

process.on('exit', killAll);
for (const [event, code] of [['uncaughtException', 2], ['unhandledRejection', 2], ['SIGTERM', 2], ['SIGINT', 2]]) {
	process.on(event, cause => {
		process.stdout.write(`the case could not run: ${cause?.stack ?? cause}\n`);
		process.exit(code);
	});
}

/** Returns the words of the command with which the deploy file runs the gateway. */
function readCommand() {
	return /^run = "(?<command>[^"]+)"/mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')).groups.command.split(' ');
}

/** Fills in the settings template of the deploy file. */
function renderSettings(fields) {
	return readFileSync(path.join(root, 'deploy/settings.ini'), 'utf8').replaceAll(/\{\{(?<name>[^\}]+)\}\}/gv, (_text, name) => {
		const value = fields[name];
		if (value === undefined) {
			throw new Error(`the settings template names ${name}, which this stand-in does not fill in`);
		}

		return value;
	});
}

async function isFree(address, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, address, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Returns `count` loopback addresses on which the given ports are free. */
async function findAddresses(count, ports) {
	for (;;) {
		const prefix = `127.${64 + Math.floor(Math.random() * 64)}.${Math.floor(Math.random() * 250)}`;
		const addresses = Array.from({length: count}, (_, i) => `${prefix}.${i + 1}`);
		// eslint-disable-next-line no-await-in-loop
		const free = await Promise.all(addresses.flatMap(address => ports.map(async port => isFree(address, port))));
		if (free.every(Boolean)) {
			return addresses;
		}
	}
}

const ports = {
	front: 8144, ready: 8140, peers: 7660, metrics: 9464,
};

/** One instance of the gateway in a process of its own, which is started again when it ends. */
export class Instance {
	/** Ends of the process that this script has not caused: code, signal and Unix milliseconds. */
	ownEnds = [];
	child = undefined;
	isStopped = false;
	isKilled = false;

	constructor({name, zone, address, store, dir}) {
		this.name = name;
		this.zone = zone;
		this.address = address;
		this.settings = path.join(dir, `${name}.ini`);
		this.log = createWriteStream(path.join(dir, `${name}.log`), {flags: 'a'});
		writeFileSync(this.settings, renderSettings({
			...platformFields, node_name: name, zone, ip: address, 'listen.front': `${address}:${ports.front}`, 'listen.ready': `${address}:${ports.ready}`,
			'port_range.0': String(ports.peers), 'platform.address': store,
		}));
	}

	get port() {
		return ports.front;
	}

	get pid() {
		return this.child?.pid;
	}

	start() {
		startedInstances.add(this);
		const [program, ...args] = readCommand();
		this.isKilled = false;
		const child = spawn(program, args, {
			cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: process.env.HOME, BLUEBELLYARD_NODE_FILE: this.settings},
		});
		this.child = child;
		child.stdout.pipe(this.log, {end: false});
		child.stderr.pipe(this.log, {end: false});
		child.once('exit', (code, signal) => {
			if (this.isStopped) {
				return;
			}

			if (!this.isKilled) {
				this.ownEnds.push({code, signal, at: Date.now()});
			}

			setTimeout(() => {
				if (!this.isStopped) {
					this.start();
				}
			}, restartDelayMs);
		});
	}

	/** Sends a signal as a disturbance. */
	signal(name) {
		this.isKilled = name === 'SIGKILL' || name === 'SIGTERM';
		this.child.kill(name);
	}

	/** Resolves to whether the instance says that it is ready. */
	async isReady() {
		return new Promise(resolve => {
			const req = get({
				host: this.address, port: ports.ready, path: '/api/ready', timeout: 1000, agent: false,
			}, res => {
				res.resume();
				resolve(res.statusCode === 200);
			});
			req.on('timeout', () => {
				req.destroy();
			});
			req.on('error', () => {
				resolve(false);
			});
		});
	}

	/** Resident memory of the process, in megabytes; 0 if it can't be read. */
	get memoryMb() {
		try {
			return Number(/^VmRSS:\s+(?<kb>\d+)/mv.exec(readFileSync(`/proc/${this.pid}/status`, 'utf8')).groups.kb) / 1024;
		} catch {
			return 0;
		}
	}

	stop() {
		this.isStopped = true;
		this.child?.kill('SIGKILL');
		this.log.end();
	}
}

/** The store, and the instances of the gateway. */
export class Deployment {
	store = new FakeStore();
	instances = [];
	dir = mkdtempSync(path.join(tmpdir(), 'bluebellyard-review-'));
	version = 7;
	sequence = 1;

	/** Starts the store and publishes the manifest. */
	async startStore(config) {
		this.storeAddress = await this.store.start();
		this.publish(config);
	}

	/** Writes a manifest as the operator does. */
	publish(config) {
		this.store.put('keyed.op', 'config', JSON.stringify({version: this.version.toString(16).padStart(8, '0'), ...config}));
		this.version += 1;
	}

	/** Writes the entry of an upstream as it does itself. */
	register({id, service, address, zone, slots, born}, state = 'ready') {
		this.store.put('keyed.servers', id, JSON.stringify({
			service, address, zone, version: 'v1', slots, state, warmup_left_s: 0, sequence: this.sequence, born,
		}));
		this.sequence += 1;
	}

	/** Starts instances, one a zone, and waits until all are ready. `storeAddressOf` names the address at which each reaches the store. */
	async startInstances(zones, storeAddressOf = () => this.storeAddress) {
		const addresses = await findAddresses(zones.length, Object.values(ports));
		for (const [i, zone] of zones.entries()) {
			const instance = new Instance({
				name: `edge-${i + 1}`, zone, address: addresses[i], store: storeAddressOf(i), dir: this.dir,
			});
			this.instances.push(instance);
			instance.start();
		}

		const end = Date.now() + 30_000;
		for (const instance of this.instances) {
			// eslint-disable-next-line no-await-in-loop
			while (!await instance.isReady()) {
				if (Date.now() > end) {
					throw new Error(`${instance.name} was not ready after 30 s`);
				}

				// eslint-disable-next-line no-await-in-loop
				await sleep(100);
			}
		}
	}

	/** Ends all processes and removes the temporary folder, unless KEEP=1 is set. */
	stop() {
		for (const instance of this.instances) {
			instance.stop();
		}

		this.store.stop();
		if (process.env.KEEP === '1') {
			process.stdout.write(`logs: ${this.dir}\n`);
		} else {
			rmSync(this.dir, {recursive: true, force: true});
		}
	}
}

/** Limits of a manifest, as the pages show them. */
export const limits = {
	max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15,
};
