import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {TargetKind} from '@bluebellyard/standins';
import {z} from 'zod';
import {
	readCpuTimeMs, waitUntilSettled, startDeployment, type Deployment, type Topology,
} from '../deployment/index.js';
import {fitLine, type LinearFit, type Point} from './fit.js';

/** Resources that an idle instance uses, as the mean over all instances of a deployment. */
export type IdleCost = {
	/** Processor time in percent of one core. */
	readonly cpuPercent: number;
	/** Resident memory in MB. */
	readonly memoryMb: number;
	/** Bytes per second that the process reads and writes through system calls. */
	readonly bytesPerS: number;
	/** Records per second that all instances together append to the log. */
	readonly appendsPerS: number;
};

/** Idle costs at several sizes of a deployment, with fitted lines. */
export type IdleCostSeries = {
	readonly varied: 'instances' | 'targets';
	readonly sizes: readonly number[];
	readonly costs: readonly IdleCost[];
	readonly cpu: LinearFit;
	readonly memory: LinearFit;
	readonly bytes: LinearFit;
};

const pageSchema = z.object({next: z.number()});

/** Idle time before a measurement, in milliseconds. */
const settleMs = 3000;

/** Duration of a measurement, in milliseconds. */
const measureMs = 8000;

const domains = ['a', 'b', 'c'];
const msPerS = 1000;
const bytesPerMb = 1024 * 1024;
const bytesPerKib = 1024;
const percent = 100;

/** Measures idle deployments with several numbers of instances, then with several numbers of targets. */
export async function measureIdleCosts(): Promise<IdleCostSeries[]> {
	const instances = await measureSeries('instances', [3, 6, 9, 12], size => ({perDomain: size / domains.length, targets: 12}));
	const targets = await measureSeries('targets', [6, 12, 24, 36], size => ({perDomain: 3, targets: size}));
	return [instances, targets];
}

type Sizes = {
	readonly perDomain: number;
	readonly targets: number;
};

async function measureSeries(varied: IdleCostSeries['varied'], sizes: readonly number[], getSizes: (size: number) => Sizes): Promise<IdleCostSeries> {
	const costs: IdleCost[] = [];
	for (const size of sizes) {
		// Measures one deployment at a time.
		// eslint-disable-next-line no-await-in-loop
		costs.push(await measureDeployment(getSizes(size)));
	}

	const fitCosts = (getCost: (cost: IdleCost) => number) =>
		fitLine(sizes.map((size, i): Point => ({size, value: getCost(costs[i])})));
	return {
		varied,
		sizes,
		costs,
		cpu: fitCosts(cost => cost.cpuPercent),
		memory: fitCosts(cost => cost.memoryMb),
		bytes: fitCosts(cost => cost.bytesPerS),
	};
}

async function measureDeployment(sizes: Sizes): Promise<IdleCost> {
	const deployment = await startDeployment(createTopology(sizes));
	try {
		await waitUntilSettled(deployment, ['/keys/k1', '/keys/k2']);
		await sleep(settleMs);
		const before = readUsage(deployment);
		const appended = await fetchNextOffset(deployment);
		await sleep(measureMs);
		const after = readUsage(deployment);
		const count = deployment.instances.size;
		return {
			cpuPercent: percent * (after.cpuMs - before.cpuMs) / measureMs / count,
			memoryMb: after.memoryBytes / count / bytesPerMb,
			bytesPerS: (after.ioBytes - before.ioBytes) * msPerS / measureMs / count,
			appendsPerS: (await fetchNextOffset(deployment) - appended) * msPerS / measureMs,
		};
	} finally {
		await deployment.stop();
	}
}

function createTopology({perDomain, targets}: Sizes): Topology {
	return {
		domains,
		instancesPerDomain: perDomain,
		pools: [{name: 'keys', targets, options: {slots: 4, serviceMs: 1, kind: TargetKind.Keyed}}],
		rules: 'pool keys keyed shards=256 slots=4 fenced=yes  # capacity\nroute GET /keys/{key} keys  # capacity\n',
	};
}

type Usage = {
	readonly cpuMs: number;
	readonly memoryBytes: number;
	readonly ioBytes: number;
};

function readUsage(deployment: Deployment): Usage {
	const sum = {cpuMs: 0, memoryBytes: 0, ioBytes: 0};
	for (const {child} of deployment.instances.values()) {
		sum.cpuMs += readCpuTimeMs(child.pid);
		sum.memoryBytes += bytesPerKib * readProcField(`/proc/${child.pid}/status`, 'VmRSS');
		sum.ioBytes += readProcField(`/proc/${child.pid}/io`, 'rchar') + readProcField(`/proc/${child.pid}/io`, 'wchar');
	}

	return sum;
}

function readProcField(file: string, name: string): number {
	const line = readFileSync(file, 'utf8').split('\n').find(text => text.startsWith(`${name}:`)) ?? '';
	return Number.parseInt(line.slice(name.length + 1), 10);
}

async function fetchNextOffset(deployment: Deployment): Promise<number> {
	const res = await fetch(`http://${deployment.logAddr}/records?from=1000000&limit=1&wait=0`);
	return pageSchema.parse(await res.json()).next;
}
