/**
 * A deployment in which the lead passes from one instance to another while the
 * view changes: which followers the next leader brings up to date, when, and by
 * how much data. Messages take the time of the leader's link and of the
 * follower's share of a core; the store and the election are left out.
 */
import process from 'node:process';
import {ManualClock, seededRandom} from '@bluebellyard/core';
import {
	FollowerSync, unpackDelta, ViewReplica, type BaseState, type Ping, type Pong,
} from '../cluster/index.js';
import type {Message} from '../peers/index.js';
import type {GatewayConfig} from '../ports/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View, type NodeInfo} from '../view/index.js';
import {createConfig} from './create-config.js';

/** Time between two steps of the simulation, in milliseconds. */
const stepMs = 5;

/** Longest time that a message waits in the network in each direction, in milliseconds. */
const maxTransitMs = 20;

/** CPU time of a ping and of a row at a follower, in milliseconds: a whole view of 2,795 rows takes 24 ms in a process that has not compiled the code, an exchange about 1 ms (docs/design/configuration-lag.md). */
const pingCpuMs = 1;
const rowCpuMs = 0.0085;

/** Longest time for which a follower with a whole core is busy with requests before it handles a message, in milliseconds. */
const maxBusyMs = 20;

/** Time within which all instances start, in milliseconds. */
const maxStartMs = 2000;

/** Options of a fleet. */
export type FleetOptions = {
	readonly seed: number;
	readonly instances: number;
	readonly targets: number;
	/** Share of a core that each follower has. */
	readonly followerCores: number;
	/** Bandwidth of the link of each leader, in Mbit/s. */
	readonly linkMbps: number;
	/** Rows that change at each tick of a leader. */
	readonly changesPerTick: number;
};

/** Returns a configuration with a route of its own, so that a mixed one is found. */
function createVersion(version: number): GatewayConfig {
	const {routes: [route, ...others], ...config} = createConfig(version);
	return {...config, routes: [route, ...others, {...route, name: `v${version}`, prefix: `/v${version}/`}]};
}

/** Writes no lines, as there would be one for each ping without an answer. */
class SilentTelemetry extends Telemetry {
	override info(): void {
		// Nothing is written.
	}
}

/** An instance with its replica of the view. */
class Member {
	readonly view = new View();
	readonly replica: ViewReplica;
	readonly node: NodeInfo;
	/** Time at which its processor is free. */
	freeAt = 0;
	/** Highest leadership that it answered. */
	term = 0;

	constructor(readonly name: string, cores: number, clock: ManualClock) {
		this.replica = new ViewReplica(this.view, clock);
		this.node = {
			name, incarnation: `${name}-1`, domain: 'x', addr: name, cores,
		};
	}
}

/** One run. Times are milliseconds since its start. */
export class FollowerFleet {
	readonly clock = new ManualClock();
	/** Time at which each instance had the newest configuration, by its name. */
	readonly appliedAt = new Map<string, number>();
	/** Whole views that leaders sent since the last change of the leader, and all bytes of changes. */
	wholeViews = 0;
	sentBytes = 0;
	/** CPU time of the leaders' pings in this process since the last change of the leader, in milliseconds. */
	leaderCpuMs = 0;
	/** Descriptions of instances that went back to an older configuration or mixed two. */
	readonly faults: string[] = [];
	readonly members: Member[];
	private readonly random: () => number;
	private events: Array<{readonly at: number; readonly run: () => void}> = [];
	private leader: Member | undefined;
	private sync: FollowerSync | undefined;
	private term = 0;
	private linkFreeAt = 0;
	private nextTickAt = 0;
	private isChanging = true;
	private readonly started = new Set<NodeInfo>();

	constructor(private readonly options: FleetOptions) {
		this.random = seededRandom(options.seed);
		this.members = Array.from({length: options.instances}, (_, i) => new Member(`e${i}`, i < 2 ? 1 : options.followerCores, this.clock));
		const [first] = this.members;
		first.view.setConfig(createVersion(1));
		first.view.store.set(`node/${first.node.name}`, first.node);
		for (const {node} of this.members.slice(1)) {
			// Instances start one after another, so that each is pinged at times of its own.
			this.after(this.random() * maxStartMs, () => {
				this.started.add(node);
				this.leader?.view.store.set(`node/${node.name}`, node);
			});
		}

		for (let i = 0; i < options.targets; i += 1) {
			first.view.store.set(`target/t${i}@1`, {
				id: `t${i}@1`, name: `t${i}`, service: 's', domain: 'x', addr: `10.2.${i >> 8}.${i & 255}:8000`, slots: 6, phase: 'ready', coldLeftMs: 0, // eslint-disable-line no-bitwise
			});
			first.view.store.set(`steward/target:t${i}@1`, `e${i % options.instances}`);
			first.view.store.set(`keys/s/${i * 16}`, {to: (i * 16) + 15, owner: `t${i}@1`, isOpen: true});
		}

		const whole = first.view.store.deltaSince(-1);
		const state = {leader: first.node.incarnation, term: 1, seq: whole.seq};
		for (const {view, replica} of this.members.slice(1)) {
			view.apply(whole);
			replica.reset(state);
		}

		this.lead(first, {assumed: state, steps: [{state, seq: whole.seq}]});
	}

	/** Makes an instance leader, on the state that it has. The former leader stops. */
	lead(member: Member, firstBase?: BaseState): void {
		if (this.leader !== undefined) {
			const {view, replica, node} = this.leader;
			replica.reset({leader: node.incarnation, term: this.term, seq: view.store.lastSeq});
		}

		const baseState = firstBase ?? member.replica.createBase();
		for (const node of this.started) {
			member.view.store.set(`node/${node.name}`, node);
		}

		this.term += 1;
		const {term} = this;
		this.wholeViews = 0;
		this.sentBytes = 0;
		this.leaderCpuMs = 0;
		member.term = term;
		this.leader = member;
		this.sync = new FollowerSync({
			self: member.node,
			leadership: () => ({era: 0, term}),
			view: member.view,
			net: {exchange: async (addr, _op, message, options) => this.exchange(addr, message, options?.timeoutMs ?? 0)},
			clock: this.clock,
			telemetry: new SilentTelemetry(this.clock),
			baseState,
			targetsReadAt: () => 0,
			formerSendEnds: () => new Map(),
			contactStatement: () => undefined,
			isLeaving: () => false,
			onPong() {
				// The reports are not used here.
			},
		});
		this.nextTickAt = this.clock.now();
	}

	/** Activates a configuration at the leader and publishes it. */
	configure(version: number): void {
		this.leader?.view.setConfig(createVersion(version));
		this.appliedAt.clear();
		this.after(15, () => {
			this.sendDue();
		});
	}

	/** Ends an instance: it answers nothing any more. */
	end(member: Member): void {
		member.term = Number.POSITIVE_INFINITY;
	}

	/** Runs for a time, in milliseconds. */
	async run(durationMs: number): Promise<void> {
		const end = this.clock.now() + durationMs;
		while (this.clock.now() < end) {
			const now = this.clock.now();
			if (now >= this.nextTickAt && this.sync !== undefined) {
				// A leader ticks every 100 ms, and publishes 15 ms after a change, as it learns of one from an answer or the store.
				this.nextTickAt = now + 15 + (this.random() * 85);
				if (this.isChanging) {
					this.changeRows();
				}

				this.sendDue();
			}

			const due = this.events.filter(({at}) => at <= now);
			this.events = this.events.filter(({at}) => at > now);
			for (const {run} of due) {
				run();
			}

			// Changes are packed and answers are handled in promises.
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			this.clock.advance(stepMs);
		}
	}

	/** Names of the instances whose view is not the leader's; ended ones are left out. */
	differing(): string[] {
		const rowsOf = ({view}: Member) => JSON.stringify([...view.store.withPrefix('')].toSorted(([a], [b]) => a < b ? -1 : 1));
		const expected = this.leader === undefined ? '' : rowsOf(this.leader);
		return this.members.filter(member => member.term <= this.term && rowsOf(member) !== expected).map(({name}) => name);
	}

	/** Ends the term of the present leader; nobody leads until the next one. */
	stopLeading(): void {
		this.sync = undefined;
	}

	/** Lets the rows stay as they are from now on. */
	stopChanging(): void {
		this.isChanging = false;
	}

	private sendDue(): void {
		const before = process.cpuUsage();
		this.sync?.sendDue(this.clock.now(), 0);
		const used = process.cpuUsage(before);
		this.leaderCpuMs += (used.user + used.system) / 1000;
	}

	private changeRows(): void {
		const {targets, changesPerTick, instances} = this.options;
		for (let i = 0; i < changesPerTick; i += 1) {
			const target = Math.floor(this.random() * targets);
			const store = this.leader?.view.store;
			store?.set(`steward/target:t${target}@1`, `e${Math.floor(this.random() * instances)}`);
			if (!(store?.remove(`leaving/t${target}@1`) ?? false) && this.random() < 0.5) {
				store?.set(`leaving/t${target}@1`, true);
			}
		}
	}

	private after(delayMs: number, run: () => void): void {
		this.events.push({at: this.clock.now() + delayMs, run});
	}

	private async exchange(addr: string, {value, bytes}: Message, timeoutMs: number): Promise<Message> {
		const {linkMbps} = this.options;
		const now = this.clock.now();
		const ping = value as Ping;
		this.linkFreeAt = Math.max(this.linkFreeAt, now) + (bytes.length / (linkMbps * 125));
		this.sentBytes += bytes.length;
		const member = this.members[Number(addr.slice(1))];
		return new Promise((resolve, reject) => {
			this.after(timeoutMs, () => {
				reject(new Error('timeout'));
			});
			this.after(this.linkFreeAt - now + (this.random() * maxTransitMs), () => {
				if (member.term > ping.term) {
					return;
				}

				const delta = unpackDelta(bytes);
				this.wholeViews += delta?.isFull === true && ping.term === this.term ? 1 : 0;
				const cpuMs = (pingCpuMs + ((delta?.set.length ?? 0) * rowCpuMs)) / member.node.cores;
				member.freeAt = Math.max(member.freeAt, this.clock.now()) + cpuMs + (this.random() * maxBusyMs / member.node.cores);
				this.after(member.freeAt - this.clock.now(), () => {
					this.answer(member, ping, bytes);
					const pong: Pong = {
						era: 0, term: member.term, incarnation: member.node.incarnation, viewState: member.replica.state, report: {keys: {}, slowness: [], isLeaving: false},
					};
					this.after(this.random() * maxTransitMs, () => {
						resolve({value: pong, bytes});
					});
				});
			});
		});
	}

	private answer(member: Member, ping: Ping, bytes: Message['bytes']): void {
		if (ping.term < member.term) {
			return;
		}

		member.term = ping.term;
		const before = member.view.configVersion;
		member.replica.receive(ping, unpackDelta(bytes));
		const {configVersion, store} = member.view;
		if (configVersion !== before) {
			this.appliedAt.set(member.name, this.clock.now());
		}

		const own = [...store.withPrefix('route/v')].map(([key]) => key);
		if ((configVersion ?? 0) < (before ?? 0) || own.length !== 1 || own[0] !== `route/v${configVersion}`) {
			this.faults.push(`${member.name}: version ${before}, then ${configVersion} with ${own.join(', ')}`);
		}
	}
}
