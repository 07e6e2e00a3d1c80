import {readFileSync} from 'node:fs';

/** Clock ticks of the kernel a second, as /proc counts them. */
const ticksPerS = 100;
const msPerS = 1000;
/** Index of the user time among the fields after the command's name. */
const userTimeField = 11;

/** Processor time that a process used so far, in milliseconds. */
export function readCpuTimeMs(pid: number): number {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[userTimeField]) + Number(fields[userTimeField + 1]);
	return ticks * msPerS / ticksPerS;
}
