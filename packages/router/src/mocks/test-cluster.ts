import {setTimeout as sleep} from 'node:timers/promises';
import {
	encodeRecord, createRecord, RecordKind,
} from '@bluebellyard/core';
import {
	call, DownMode, LogService, MemberRole, MembershipList, MemberState, Target, type CallOptions, type CallResult, type TargetOptions,
} from '@bluebellyard/standins';
import type {ExecutionContext} from 'ava';
import {stringify} from 'ini';
import {Instance} from '../instance.js';
import {configureLogging, LogLevel} from '../logging/index.js';
import {parseSettings} from '../settings/index.js';

const pollIntervalMs = 20;
const waitTimeoutMs = 20_000;

/** Long enough that no right expires when this process, which runs several instances, is paused for a while. */
const timing = {
	heartbeat: '100ms', suspect: '1s', right: '1s', lease: '2s',
};

/** Settings texts by section and key. */
export type Sections = Readonly<Record<string, Readonly<Record<string, string>>>>;

/** A started instance and its address for callers. */
export type StartedInstance = {
	readonly instance: Instance;
	readonly addr: string;
};

/** Polls until `check` returns true; throws an error with the text of `what` after `maxWaitMs`. */
export async function waitUntil(check: () => boolean | Promise<boolean>, what: () => string): Promise<void> {
	const deadline = Date.now() + waitTimeoutMs;
	// eslint-disable-next-line no-await-in-loop
	while (!await check()) {
		if (Date.now() > deadline) {
			throw new Error(`timed out: ${what()}`);
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(pollIntervalMs);
	}
}

/** Runs a platform, targets and instances in this process. */
export class TestCluster {
	readonly log = new LogService();
	readonly membership = new MembershipList({lagMs: 0});

	constructor(private readonly t: ExecutionContext) {
		configureLogging({level: LogLevel.Silent});
	}

	/** Starts the platform; closes it at the end of the test. */
	async start(): Promise<this> {
		await this.log.start();
		await this.membership.start();
		this.t.teardown(async () => {
			await this.log.stop();
			await this.membership.stop();
		});
		return this;
	}

	/** Starts a target of pool `p` and adds it to the membership list. */
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

	/** Returns the settings text of an instance with ephemeral ports. */
	settingsText(name: string, domain: string, sections: Sections = {}): string {
		const anyPort = '127.0.0.1:0';
		const platform = {log: `http://${this.log.addr}`, membership: `http://${this.membership.addr}`};
		return stringify({
			instance: {name, domain},
			listen: {
				callers: anyPort, internal: anyPort, peers: anyPort, control: anyPort,
			},
			tls: {mode: 'off'},
			timing,
			...sections,
			platform: {...platform, ...sections.platform},
		});
	}

	/** Starts an instance in this process; closes it at the end of the test. */
	async startInstance(name: string, domain: string, sections: Sections = {}): Promise<StartedInstance> {
		const instance = new Instance(parseSettings(this.settingsText(name, domain, sections), name));
		const addr = await instance.start();
		this.t.teardown(async () => instance.close());
		return {instance, addr};
	}

	/** Publishes the first configuration. */
	async publishRules(text: string): Promise<void> {
		const record = createRecord({kind: RecordKind.Config, base: 0, text}, 'config', 'operator');
		await call(this.log.addr, '/records', {body: {records: [encodeRecord(record)]}});
	}

	/** Stops or restarts the log service; while it is down, connections are refused. */
	async setLogDown(isDown: boolean): Promise<void> {
		await this.log.setFaults({down: isDown ? DownMode.Refused : DownMode.None});
	}
}

/** Repeats the request until it is answered with 200; returns that answer. */
export async function waitUntilServed(addr: string, path: string, options: CallOptions = {}): Promise<CallResult> {
	let answer = await call(addr, path, options);
	await waitUntil(async () => {
		answer = answer.status === 200 ? answer : await call(addr, path, options);
		return answer.status === 200;
	}, () => `${path}, last answer ${answer.status} ${answer.text}`);
	return answer;
}
