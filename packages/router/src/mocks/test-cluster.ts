import {setTimeout as sleep} from 'node:timers/promises';
import {
	encodeRecord, makeRecord, RecordKind,
} from '@bluebellyard/core';
import {
	call, DownMode, LogService, MemberRole, MembershipList, MemberState, Target, type CallOptions, type CallResult, type TargetOptions,
} from '@bluebellyard/standins';
import type {ExecutionContext} from 'ava';
import {stringify} from 'ini';
import {Instance} from '../instance.js';
import {configureLogging, LogLevel} from '../logging/index.js';
import {parseSettings} from '../settings/index.js';

const pollMs = 20;
const maxWaitMs = 20_000;

/** Long enough that a pause of this process, in which several instances run, ends no right. */
const timing = {
	heartbeat: '100ms', suspect: '1s', right: '1s', lease: '2s',
};

/** Settings by section and key. */
export type Sections = Readonly<Record<string, Readonly<Record<string, string>>>>;

/** An instance that serves callers at `addr`. */
export type StartedInstance = {
	readonly instance: Instance;
	readonly addr: string;
};

/** Resolves when `check` gives true; throws when that takes too long. */
export async function waitUntil(check: () => boolean | Promise<boolean>, what: () => string): Promise<void> {
	const end = Date.now() + maxWaitMs;
	// eslint-disable-next-line no-await-in-loop
	while (!await check()) {
		if (Date.now() > end) {
			throw new Error(`Not in time: ${what()}`);
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(pollMs);
	}
}

/** Platform, targets and instances in this process. */
export class TestCluster {
	readonly log = new LogService();
	readonly membership = new MembershipList({lagMs: 0});

	constructor(private readonly t: ExecutionContext) {
		configureLogging({level: LogLevel.Silent});
	}

	/** Starts the platform; everything is closed at the end of the test. */
	async start(): Promise<this> {
		await this.log.start();
		await this.membership.start();
		this.t.teardown(async () => {
			await this.log.stop();
			await this.membership.stop();
		});
		return this;
	}

	/** Starts a target of pool `p` and lists it. */
	async startTarget(name: string, domain: string, options: TargetOptions = {}): Promise<Target> {
		const target = new Target({...options, name});
		await target.start();
		this.t.teardown(async () => target.stop());
		await call(this.membership.addr, `/members/${name}`, {
			method: 'PUT',
			body: {
				role: MemberRole.Target, name, domain, pool: 'p', addr: target.addr, state: MemberState.Live,
			},
		});
		return target;
	}

	/** Text of the settings of an instance with ephemeral ports. */
	settingsText(name: string, domain: string, sections: Sections = {}): string {
		const any = '127.0.0.1:0';
		const platform = {log: `http://${this.log.addr}`, membership: `http://${this.membership.addr}`};
		return stringify({
			instance: {name, domain},
			listen: {
				callers: any, internal: any, peers: any, control: any,
			},
			tls: {mode: 'off'},
			timing,
			...sections,
			platform: {...platform, ...sections.platform},
		});
	}

	/** Starts an instance in this process. */
	async startInstance(name: string, domain: string, sections: Sections = {}): Promise<StartedInstance> {
		const instance = new Instance(parseSettings(this.settingsText(name, domain, sections), name));
		const addr = await instance.start();
		this.t.teardown(async () => instance.close());
		return {instance, addr};
	}

	/** Publishes rules over nothing before them. */
	async publishRules(text: string): Promise<void> {
		const record = makeRecord({kind: RecordKind.Config, base: 0, text}, 'config', 'operator');
		await call(this.log.addr, '/records', {body: {records: [encodeRecord(record)]}});
	}

	/** Stops or restarts the log service; connections are refused meanwhile. */
	async setLogDown(isDown: boolean): Promise<void> {
		await this.log.setFaults({down: isDown ? DownMode.Refused : DownMode.None});
	}
}

/** Asks until the answer is 200; gives that. */
export async function waitUntilServed(addr: string, path: string, options: CallOptions = {}): Promise<CallResult> {
	let answer = await call(addr, path, options);
	await waitUntil(async () => {
		answer = answer.status === 200 ? answer : await call(addr, path, options);
		return answer.status === 200;
	}, () => `${path}, last answer ${answer.status} ${answer.text}`);
	return answer;
}
