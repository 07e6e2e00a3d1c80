/**
 * What a process of this machine uses, as the kernel counts it.
 */
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import {join} from 'node:path';

const kbPerMb = 1024;

/** Returns the largest resident memory that a process has had, in megabytes. */
export function readPeakMb(pid: number): number {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	return Math.round(Number(/^VmHWM:\s+(?<kb>\d+) kB/mv.exec(status)?.groups?.kb) / kbPerMb);
}

/** Returns the number of sockets that a process has open. */
export function countSockets(pid: number): number {
	const dir = `/proc/${pid}/fd`;
	return readdirSync(dir).filter(name => {
		try {
			return readlinkSync(join(dir, name)).startsWith('socket:');
		} catch {
			// It was closed meanwhile.
			return false;
		}
	}).length;
}
