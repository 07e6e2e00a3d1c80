import {execFile} from 'node:child_process';
import {rmSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {
	call, findFreePorts, MemberRole, MemberState, readJournal, type LedgerDump, type TargetFaults,
} from '@bluebellyard/standins';
import {startChild, type Child} from './child.js';
import {formatInstanceSettings, listenKeys} from './instance-settings.js';
import {LostLedgers} from './lost-ledgers.js';
import {createOutputFolder} from './output-folder.js';
import {scripts} from './scripts.js';
import {buildTargetArgs} from './target-args.js';
import {
	planInstances, planTargets, type InstancePlan, type TargetPlan, type Topology,
} from './topology.js';

/** Result of a run of the operators' command-line tool. */
export type CtlResult = {
	/** Exit code. */
	readonly code: number;
	readonly out: string;
	readonly err: string;
};

/** A running target. */
export type TargetProcess = {
	readonly plan: TargetPlan;
	readonly child: Child;
	/** Path of the journal of this process; empty if it writes none. */
	readonly journalFile: string;
};

/** A running instance. */
export type InstanceProcess = {
	readonly plan: InstancePlan;
	readonly child: Child;
	/** Address of the control server, which the operators' tool queries. */
	readonly controlAddr: string;
};

/** The stand-ins and instances of an experiment, each in a process of its own. */
export class Deployment {
	readonly targets = new Map<string, TargetProcess>();
	readonly instances = new Map<string, InstanceProcess>();
	/** Folder for settings, the journals of the targets, and what the processes write. */
	readonly folder = createOutputFolder('deployment');
	private readonly topology: Topology;
	private readonly lostLedgers = new LostLedgers();
	private logChild: Child | undefined;
	private membershipChild: Child | undefined;
	private journalCount = 0;

	constructor(topology: Topology) {
		this.topology = topology;
	}

	/** Address of the log service. */
	get logAddr(): string {
		return this.logChild!.addr;
	}

	/** Address of the membership list. */
	get membershipAddr(): string {
		return this.membershipChild!.addr;
	}

	/** Addresses at which the instances serve callers. */
	get callerAddrs(): string[] {
		return [...this.instances.values()].map(({child}) => child.addr);
	}

	/** Addresses of the control servers of the instances. */
	get controlAddrs(): string[] {
		return [...this.instances.values()].map(({controlAddr}) => controlAddr);
	}

	/** Starts all processes and publishes the rules. If a process does not start, rejects when no other one is starting any more. */
	async startAll(): Promise<void> {
		await this.startPlatform();
		await settleAll(planTargets(this.topology).map(async plan => this.startTarget(plan)));
		await settleAll(planInstances(this.topology).map(async plan => this.startInstance(plan)));
		await this.publishRules(this.topology.rules);
	}

	/** Starts the log service and the membership list. */
	async startPlatform(): Promise<void> {
		const lag = String(this.topology.membershipLagMs ?? 0);
		this.logChild = await this.startProcess('log', scripts.standins, ['log']);
		this.membershipChild = await this.startProcess('membership', scripts.standins, ['membership', '--lag-ms', lag]);
	}

	/** Starts a target and adds it to the membership list. */
	async startTarget(plan: TargetPlan): Promise<TargetProcess> {
		const journalFile = this.topology.hasJournals ? join(this.folder, `${plan.name}.${this.journalCount++}.ledger`) : '';
		const options = {...plan.options, name: plan.name, ...(journalFile !== '' && {journalFile})};
		const child = await this.startProcess(plan.name, scripts.standins, buildTargetArgs(options));
		const target = {plan, child, journalFile};
		this.targets.set(plan.name, target);
		await this.updateMembership(plan.name, MemberState.Live);
		return target;
	}

	/** Starts an instance. */
	async startInstance(plan: InstancePlan): Promise<InstanceProcess> {
		const platform = {log: this.logAddr, membership: this.membershipAddr};
		const file = join(this.folder, `${plan.name}.ini`);
		const ports = await findFreePorts(listenKeys.length);
		writeFileSync(file, formatInstanceSettings(plan, ports, platform, this.topology.settings));
		const child = await this.startProcess(plan.name, scripts.router, ['--settings', file]);
		const instance = {plan, child, controlAddr: `127.0.0.1:${ports[listenKeys.indexOf('control')]}`};
		this.instances.set(plan.name, instance);
		return instance;
	}

	/** Adds or updates a target in the membership list. */
	async updateMembership(name: string, state: MemberState): Promise<void> {
		const {plan, child} = this.getTarget(name);
		await call(this.membershipAddr, `/members/${name}`, {
			method: 'PUT',
			body: {
				role: MemberRole.Target, name, domain: plan.domain, pool: plan.pool, addr: child.addr, state,
			},
		});
	}

	/** Removes a member from the membership list. */
	async removeMember(name: string): Promise<void> {
		await call(this.membershipAddr, `/members/${name}`, {method: 'DELETE'});
	}

	/** Runs the operators' command-line tool. */
	async runCtl(command: string, ...args: readonly string[]): Promise<CtlResult> {
		const argv = [scripts.ctl, command, '--log', `http://${this.logAddr}`, ...args];
		return new Promise(resolve => {
			execFile(process.execPath, argv, (err, out, stderr) => {
				resolve({code: err ? Number(err.code ?? 1) : 0, out, err: stderr});
			});
		});
	}

	/** Publishes a rules file and waits until it is in force everywhere. */
	async publishRules(rules: string): Promise<void> {
		const file = join(this.folder, 'rules.txt');
		writeFileSync(file, rules);
		const result = await this.runCtl('publish', file, '--wait');
		if (result.code !== 0) {
			throw new Error(`Publishing the rules failed: ${result.out}${result.err}`);
		}
	}

	/** Kills a target. The membership list still contains it, as after a crash. */
	async killTarget(name: string): Promise<void> {
		const target = this.getTarget(name);
		await target.child.kill();
		this.targets.delete(name);
		this.recoverLedger(target);
	}

	/** Kills an instance. */
	async killInstance(name: string): Promise<void> {
		const {child} = this.getInstance(name);
		await child.kill();
		this.instances.delete(name);
	}

	/** Shuts an instance down with SIGTERM. Returns its exit code, or null if a signal ended it. */
	async stopInstance(name: string): Promise<number | null> {
		const {child} = this.getInstance(name);
		const code = await child.terminate();
		this.instances.delete(name);
		return code;
	}

	/** Process of the log service. */
	get logProcess(): Child {
		return this.logChild!;
	}

	/** Sets the faults of a target. */
	async setTargetFaults(name: string, faults: Partial<TargetFaults>): Promise<void> {
		await call(this.getTarget(name).child.addr, '/control/faults', {body: faults});
	}

	/** Sets the faults of the log service. */
	async setLogFaults(faults: object): Promise<void> {
		await call(this.logAddr, '/faults', {body: faults});
	}

	/** Returns the ledgers of all targets, including killed ones if targets write journals. */
	async fetchLedgers(): Promise<LedgerDump[]> {
		const runningDumps = await Promise.all([...this.targets.values()].map(async ({child}) => {
			const answer = await call(child.addr, '/control/ledger');
			return answer.json<LedgerDump>();
		}));
		return [...runningDumps, ...this.lostLedgers.dumps];
	}

	/** Writes a file beside the logs of the processes. */
	writeRecord(name: string, value: unknown): void {
		writeFileSync(join(this.folder, name), JSON.stringify(value, undefined, '\t'));
	}

	/** Stops all processes and removes their folder, unless its files are to be kept. */
	async stop({keepsFiles = false} = {}): Promise<void> {
		await Promise.all([...this.instances.values()].map(async ({child}) => child.terminate()));
		await Promise.all([...this.targets.values()].map(async ({child}) => child.terminate()));
		await this.membershipChild?.terminate();
		await this.logChild?.terminate();
		if (!keepsFiles) {
			rmSync(this.folder, {recursive: true, force: true});
		}
	}

	private async startProcess(name: string, script: string, args: readonly string[]): Promise<Child> {
		return startChild(name, script, args, join(this.folder, `${name}.log`));
	}

	private recoverLedger({plan, child, journalFile}: TargetProcess): void {
		if (journalFile !== '') {
			this.lostLedgers.add(plan.name, readJournal(journalFile), child.killedAt!);
		}
	}

	private getTarget(name: string): TargetProcess {
		const target = this.targets.get(name);
		if (!target) {
			throw new Error(`No running target ${name}`);
		}

		return target;
	}

	private getInstance(name: string): InstanceProcess {
		const instance = this.instances.get(name);
		if (!instance) {
			throw new Error(`No running instance ${name}`);
		}

		return instance;
	}
}

/** Waits until all promises are settled, then throws the reason of the first rejected one. */
async function settleAll(promises: ReadonlyArray<Promise<unknown>>): Promise<void> {
	await Promise.allSettled(promises);
	await Promise.all(promises);
}

/** Starts a deployment and publishes its rules. If that fails, stops all processes and keeps their files. */
export async function startDeployment(topology: Topology): Promise<Deployment> {
	const deployment = new Deployment(topology);
	try {
		await deployment.startAll();
		return deployment;
	} catch (err) {
		await deployment.stop({keepsFiles: true});
		throw new Error(`The deployment did not start; its files are in ${deployment.folder}: ${String(err)}`, {cause: err});
	}
}
