import {
	mkdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';

/** The range lies below the ephemeral ports that the kernel assigns to sockets that ask for any port. */
const firstPort = 10_000;
const portCount = 20_000;

/** Distance between the first ports that processes with consecutive ids try. */
const stride = 97;

/** Folder of the reservations: a file a port, with the id of the process that has reserved it. */
const defaultFolder = join(tmpdir(), 'bluebellyard-ports');

const reservations = new Set<string>();
let nextPortIndex = process.pid * stride;

process.on('exit', () => {
	for (const file of reservations) {
		rmSync(file, {force: true});
	}
});

/** Returns loopback ports that are not in use. All processes that use this function get different ports, until they end. */
export async function findFreePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = firstPort + (nextPortIndex++ % portCount);
		// eslint-disable-next-line no-await-in-loop -- tries one port after another
		if (reservePort(port) && await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}

/** Reserves a port for this process until it ends. Returns false if it is reserved already. */
export function reservePort(port: number, folder = defaultFolder): boolean {
	mkdirSync(folder, {recursive: true});
	const file = join(folder, String(port));
	try {
		writeFileSync(file, String(process.pid), {flag: 'wx'});
		reservations.add(file);
		return true;
	} catch (err) {
		if (readCode(err) !== 'EEXIST') {
			throw err;
		}
	}

	// Several processes may find the same abandoned reservation: the port is free for the next call, not for this one.
	if (isAbandoned(file)) {
		rmSync(file, {force: true});
	}

	return false;
}

/** Returns whether the process that wrote a reservation has ended without removing it. */
function isAbandoned(file: string): boolean {
	const pid = readPid(file);
	if (pid === undefined) {
		return false;
	}

	try {
		process.kill(pid, 0);
		return false;
	} catch (err) {
		return readCode(err) === 'ESRCH';
	}
}

/** Returns the process id in a reservation; undefined if it is just being written or removed. */
function readPid(file: string): number | undefined {
	try {
		const pid = Number(readFileSync(file, 'utf8'));
		return pid > 0 ? pid : undefined;
	} catch {
		return undefined;
	}
}

function readCode(err: unknown): string {
	return err instanceof Error && 'code' in err ? String(err.code) : '';
}

async function isFree(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
