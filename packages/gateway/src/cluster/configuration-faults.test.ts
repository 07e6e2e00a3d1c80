/** Guards against configurations that are late, go back or are mixed while disturbances come in series and overlap. */
import test, {type ExecutionContext} from 'ava';
import {seededRandom} from '@bluebellyard/core';
import {configureLogging, LogFormat} from '@bluebellyard/router/logging';
import {CoordinatorCluster, type ClusterInstance} from '../mocks/coordinator-cluster.js';
import {until} from '../mocks/feed-harness.js';
import {sleep} from '../net/index.js';

configureLogging({
	format: LogFormat.Json,
	write() {
		// Thousands of lines about instances that do not answer.
	},
});

const seeds = [1, 2, 3, 4, 5, 6];

const instanceCount = 9;

/** Most instances that end in a run. */
const maxKills = 3;

/** Number of disturbances in a run, and the longest time between two of them, in milliseconds. */
const disturbanceCount = 24;
const maxPauseMs = 500;

/** Time from a publication until a configuration must be in force, and from the end of a lost store contact until an instance counts again, in milliseconds. */
const maxDelayMs = 2000;
const contactMs = 3000;

class FaultyRun {
	readonly violations: string[] = [];
	private readonly cluster: CoordinatorCluster;
	private readonly random: () => number;
	private readonly checks: Array<Promise<void>> = [];
	/** Time at which the link of an instance to the store was last silent, by name. */
	private readonly silentAt = new Map<string, number>();
	private version = 1;
	private kills = 0;

	constructor(t: ExecutionContext, seed: number) {
		this.cluster = new CoordinatorCluster(instanceCount, seed, [1, 0.2, 0.27]);
		this.random = seededRandom(seed * 101);
		t.teardown(() => {
			this.cluster.stop();
		});
	}

	async run(): Promise<void> {
		const {cluster} = this;
		for (const instance of cluster.instances) {
			this.watch(instance);
		}

		await cluster.start();
		for (let i = 0; i < disturbanceCount; i += 1) {
			this.disturb();
			if (this.random() < 0.7) {
				this.publish();
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(this.random() * maxPauseMs);
		}

		await Promise.all(this.checks);
		await this.checkEnd();
	}

	/** Records configurations that are older than one before, or have routes of another one. */
	private watch({self, view}: ClusterInstance): void {
		let newest = 0;
		view.onChange(() => {
			const {configVersion = 0} = view;
			const own = [...view.configRows().keys()].filter(key => /^route\/v\d+$/v.test(key)).join(' ');
			if (configVersion < newest || (configVersion > 0 && own !== `route/v${configVersion}`)) {
				this.violations.push(`${self.name} has version ${configVersion} with ${own} after ${newest}`);
			}

			newest = Math.max(newest, configVersion);
		});
	}

	private publish(): void {
		this.version += 1;
		this.cluster.publish(this.version);
		this.checks.push(this.checkInForce(this.version));
	}

	private async checkInForce(version: number): Promise<void> {
		const publishedAt = performance.now();
		await sleep(maxDelayMs);
		for (const {self, view, link} of this.cluster.running) {
			const isInTouch = !link.isSilent && (this.silentAt.get(self.name) ?? 0) + contactMs < publishedAt;
			if (isInTouch && (view.configVersion ?? 0) < version) {
				this.violations.push(`${self.name} has version ${view.configVersion} ${maxDelayMs} ms after ${version} was published`);
			}
		}
	}

	private disturb(): void {
		const {cluster, random} = this;
		const {running} = cluster;
		const selected = running[Math.floor(random() * running.length)];
		const leader = running.find(({coordinator}) => coordinator.isLeader) ?? selected;
		switch (Math.floor(random() * 7)) {
			case 0: {
				cluster.cut((a, b) => (a.domain === selected.self.domain) !== (b.domain === selected.self.domain));
				break;
			}

			case 1: {
				cluster.cut((a, b) => (a.name === leader.self.name) !== (b.name === leader.self.name));
				break;
			}

			case 2: {
				cluster.cut((a, b) => (a.name === selected.self.name) !== (b.name === selected.self.name));
				break;
			}

			case 3: {
				this.killOnce(leader);
				break;
			}

			case 4: {
				leader.link.loseAnswers();
				break;
			}

			case 5: {
				this.setSilent(random() < 0.5 ? leader : selected);
				break;
			}

			default: {
				this.heal();
			}
		}
	}

	private killOnce(instance: ClusterInstance): void {
		if (this.kills < maxKills) {
			this.kills += 1;
			this.cluster.kill(instance);
		}
	}

	private setSilent({self, link}: ClusterInstance): void {
		link.isSilent = true;
		this.silentAt.set(self.name, performance.now());
	}

	private heal(): void {
		this.cluster.heal();
		for (const {self, link} of this.cluster.running.filter(instance => instance.link.isSilent)) {
			link.isSilent = false;
			this.silentAt.set(self.name, performance.now());
		}
	}

	/** Checks that all instances have the last configuration and the view of one leader once nothing is disturbed. */
	private async checkEnd(): Promise<void> {
		this.heal();
		const {running} = this.cluster;
		const hasSettled = await until(() => running.filter(({coordinator}) => coordinator.isLeader).length === 1
			&& running.every(({view}) => view.configVersion === this.version && !view.keepsOwnConfig && view.direct.left.size === 0));
		if (!hasSettled) {
			this.violations.push(`versions at the end: ${running.map(({view, coordinator}) => `${view.configVersion}${coordinator.isLeader ? ' leads' : ''}`).join(', ')}`);
		}
	}
}

for (const seed of seeds) {
	test(`configurations take effect in time, whole and in order, seed ${seed}`, async t => {
		const run = new FaultyRun(t, seed);
		await run.run();
		t.deepEqual(run.violations, []);
	});
}
