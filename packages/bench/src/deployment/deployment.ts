import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {
	call, MemberRole, MemberState, readJournal, type LedgerDump, type TargetFaults,
} from '@bluebellyard/standins';
import {startChild, type Child} from './child.js';
import {findFreePorts} from './find-free-ports.js';
import {formatInstanceSettings, listenKeys} from './instance-settings.js';
import {LostLedgers} from './lost-ledgers.js';
import {scripts} from './scripts.js';
import {buildTargetArgs} from './target-args.js';
import {
	planInstances, planTargets, type InstancePlan, type TargetPlan, type Topology,
} from './topology.js';

/** Result of the operators' command. */
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
	/** Journal of this process life; empty for none. */
	readonly journalFile: string;
};

/** A running instance. */
export type InstanceProcess = {
	readonly plan: InstancePlan;
	readonly child: Child;
	/** Address at which the operators' command asks for status. */
	readonly controlAddr: string;
};

/** The stand-ins and instances of an experiment, each a process of its own. */
export class Deployment {
	readonly targets = new Map<string, TargetProcess>();
	readonly instances = new Map<string, InstanceProcess>();
	private readonly topology: Topology;
	private readonly folder = mkdtempSync(join(tmpdir(), 'bluebellyard-'));
	private readonly lostLedgers = new LostLedgers();
	private logChild: Child | undefined;
	private membershipChild: Child | undefined;
	private lives = 0;

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

	/** Addresses on which instances serve callers. */
	get callerAddrs(): string[] {
		return [...this.instances.values()].map(({child}) => child.addr);
	}

	/** Addresses at which the operators' command asks instances for status. */
	get controlAddrs(): string[] {
		return [...this.instances.values()].map(({controlAddr}) => controlAddr);
	}

	/** Starts everything and publishes the rules. */
	async startAll(): Promise<void> {
		await this.startPlatform();
		await Promise.all(planTargets(this.topology).map(async plan => this.startTarget(plan)));
		await Promise.all(planInstances(this.topology).map(async plan => this.startInstance(plan)));
		await this.publishRules(this.topology.rules);
	}

	/** Starts the log service and the membership list. */
	async startPlatform(): Promise<void> {
		const lag = String(this.topology.membershipLagMs ?? 0);
		this.logChild = await startChild('log', scripts.standins, ['log']);
		this.membershipChild = await startChild('membership', scripts.standins, ['membership', '--lag-ms', lag]);
	}

	/** Starts a target and lists it as a member. */
	async startTarget(plan: TargetPlan): Promise<TargetProcess> {
		const journalFile = this.topology.hasJournals ? join(this.folder, `${plan.name}.${this.lives++}.ledger`) : '';
		const options = {...plan.options, name: plan.name, ...(journalFile !== '' && {journalFile})};
		const child = await startChild(plan.name, scripts.standins, buildTargetArgs(options));
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
		const child = await startChild(plan.name, scripts.router, ['--settings', file]);
		const instance = {plan, child, controlAddr: `127.0.0.1:${ports[listenKeys.indexOf('control')]}`};
		this.instances.set(plan.name, instance);
		return instance;
	}

	/** Lists a target with a state. */
	async updateMembership(name: string, state: MemberState): Promise<void> {
		const {plan, child} = this.targetOf(name);
		await call(this.membershipAddr, `/members/${name}`, {
			method: 'PUT',
			body: {
				role: MemberRole.Target, name, domain: plan.domain, pool: plan.pool, addr: child.addr, state,
			},
		});
	}

	/** Removes a member from the list. */
	async removeMember(name: string): Promise<void> {
		await call(this.membershipAddr, `/members/${name}`, {method: 'DELETE'});
	}

	/** Runs the operators' command. */
	async runCtl(command: string, ...args: readonly string[]): Promise<CtlResult> {
		const argv = [scripts.ctl, command, '--log', `http://${this.logAddr}`, ...args];
		return new Promise(resolve => {
			execFile(process.execPath, argv, (err, out, errText) => {
				resolve({code: err ? Number(err.code ?? 1) : 0, out, err: errText});
			});
		});
	}

	/** Publishes a rules file and waits until it is in force everywhere. */
	async publishRules(rules: string): Promise<void> {
		const file = join(this.folder, 'rules.txt');
		writeFileSync(file, rules);
		const result = await this.runCtl('publish', file, '--wait');
		if (result.code !== 0) {
			throw new Error(`The rules were not published: ${result.out}${result.err}`);
		}
	}

	/** Ends a target at once, as a fault does; the membership list still shows it. */
	async killTarget(name: string): Promise<void> {
		const target = this.targetOf(name);
		await target.child.kill();
		this.targets.delete(name);
		this.keepLedger(target);
	}

	/** Ends an instance at once. */
	async killInstance(name: string): Promise<void> {
		const {child} = this.instanceOf(name);
		await child.kill();
		this.instances.delete(name);
	}

	/** Ends an instance in the planned way. Returns its exit code. */
	async stopInstance(name: string): Promise<number | null> {
		const {child} = this.instanceOf(name);
		const code = await child.terminate();
		this.instances.delete(name);
		return code;
	}

	/** Ends the log service at once, or pauses and resumes it. */
	get logProcess(): Child {
		return this.logChild!;
	}

	/** Switches faults of a target. */
	async setTargetFaults(name: string, faults: Partial<TargetFaults>): Promise<void> {
		await call(this.targetOf(name).child.addr, '/control/faults', {body: faults});
	}

	/** Switches faults of the log service. */
	async setLogFaults(faults: object): Promise<void> {
		await call(this.logAddr, '/faults', {body: faults});
	}

	/** Ledgers of all targets, the killed ones included when journals are kept. */
	async fetchLedgers(): Promise<LedgerDump[]> {
		const living = await Promise.all([...this.targets.values()].map(async ({child}) => {
			const answer = await call(child.addr, '/control/ledger');
			return answer.json<LedgerDump>();
		}));
		return [...living, ...this.lostLedgers.dumps];
	}

	/** Stops everything and removes the folder. */
	async stop(): Promise<void> {
		await Promise.all([...this.instances.values()].map(async ({child}) => child.terminate()));
		await Promise.all([...this.targets.values()].map(async ({child}) => child.terminate()));
		await this.membershipChild?.terminate();
		await this.logChild?.terminate();
		rmSync(this.folder, {recursive: true, force: true});
	}

	private keepLedger({plan, child, journalFile}: TargetProcess): void {
		if (journalFile !== '') {
			this.lostLedgers.add(plan.name, readJournal(journalFile), child.killedAt!);
		}
	}

	private targetOf(name: string): TargetProcess {
		const target = this.targets.get(name);
		if (!target) {
			throw new Error(`There is no target ${name}`);
		}

		return target;
	}

	private instanceOf(name: string): InstanceProcess {
		const instance = this.instances.get(name);
		if (!instance) {
			throw new Error(`There is no instance ${name}`);
		}

		return instance;
	}
}

/** Starts a whole deployment and publishes its rules; stops everything when that fails. */
export async function startDeployment(topology: Topology): Promise<Deployment> {
	const deployment = new Deployment(topology);
	try {
		await deployment.startAll();
		return deployment;
	} catch (err) {
		await deployment.stop();
		throw err;
	}
}
