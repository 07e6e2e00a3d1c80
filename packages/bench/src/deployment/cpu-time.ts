import {readFileSync} from 'node:fs';

/** Clock ticks per second in /proc (USER_HZ). */
const ticksPerS = 100;
const msPerS = 1000;
/** Index of the user time (utime) among the fields after the command name; the system time follows it. */
const userTimeField = 11;

/** Returns the user and system CPU time of a process in milliseconds, as read from /proc. */
export function readCpuTimeMs(pid: number): number {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[userTimeField]) + Number(fields[userTimeField + 1]);
	return ticks * msPerS / ticksPerS;
}
