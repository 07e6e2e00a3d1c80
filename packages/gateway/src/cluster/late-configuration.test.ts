/** Guards against a configuration that is late at an instance that reaches the store, since its leader or the way to it is disturbed. */
import test from 'ava';
import {configureLogging, LogFormat} from '@bluebellyard/router/logging';
import {CoordinatorCluster, type ClusterInstance} from '../mocks/coordinator-cluster.js';
import {sleep} from '../net/index.js';
import type {NodeInfo} from '../view/index.js';

configureLogging({
	format: LogFormat.Json,
	write() {
		// Thousands of lines about instances that do not answer.
	},
});

/** Time from the acknowledgement of a configuration by which it must be in force, in milliseconds: the bound of small deployments. */
const maxDelayMs = 2000;

/** Processor time of the instances in cores, in turn: one in five is large. */
const cores = [1.35, 0.2, 0.2, 0.27, 0.27];

const seeds = [1, 2, 3, 4, 5, 6, 7, 8];

/** Time from the first ping of a leader until a disturbance, in milliseconds: by seed another part of the interval between two pings. */
const settleMs = 700;
const settleStepMs = 77;

type Disturbance = {
	readonly title: string;
	/** Returns the instances that are not observed; all of them reach the store. */
	readonly begin: (cluster: CoordinatorCluster, leader: ClusterInstance) => readonly ClusterInstance[] | void;
};

function cutAround(cluster: CoordinatorCluster, isInside: (node: NodeInfo) => boolean): void {
	cluster.cut((a, b) => isInside(a) !== isInside(b));
}

function smallest(cluster: CoordinatorCluster): ClusterInstance {
	return cluster.running.toSorted((a, b) => a.self.cores - b.self.cores)[0];
}

const disturbances: readonly Disturbance[] = [
	{
		title: 'the answer to the leader\'s read is lost',
		begin(_cluster, leader) {
			leader.link.loseAnswers();
		},
	},
	{
		title: 'a domain is cut off from the others',
		begin(cluster, leader) {
			const {domain} = cluster.running.find(({self}) => self.domain !== leader.self.domain)!.self;
			cutAround(cluster, node => node.domain === domain);
		},
	},
	{
		title: 'the domain of the leader is cut off from the others',
		begin(cluster, leader) {
			cutAround(cluster, node => node.domain === leader.self.domain);
		},
	},
	{
		title: 'the leader is cut off from all instances',
		begin(cluster, leader) {
			cutAround(cluster, node => node.name === leader.self.name);
		},
	},
	{
		title: 'a small instance is cut off from all others',
		begin(cluster) {
			const {name} = smallest(cluster).self;
			cutAround(cluster, node => node.name === name);
		},
	},
	{
		title: 'a small instance is cut off from the leader',
		begin(cluster, leader) {
			const names = new Set([smallest(cluster).self.name, leader.self.name]);
			cluster.cut((a, b) => a !== b && names.has(a.name) && names.has(b.name));
		},
	},
	{
		title: 'the leader is killed',
		begin(cluster, leader) {
			cluster.kill(leader);
		},
	},
	{
		title: 'the store does not answer the leader',
		begin(_cluster, leader) {
			leader.link.isSilent = true;
			return [leader];
		},
	},
];

for (const {title, begin} of disturbances) {
	test(`a configuration is in force in time although ${title}`, async t => {
		const delays = await Promise.all(seeds.map(async seed => {
			const cluster = new CoordinatorCluster(15, seed, cores);
			t.teardown(() => {
				cluster.stop();
			});
			await cluster.start();
			await sleep(settleMs + (seed * settleStepMs));
			const unobserved = begin(cluster, cluster.leader) ?? [];
			return cluster.measure(2, cluster.running.filter(instance => !unobserved.includes(instance)));
		}));
		t.log(delays.map(delayMs => Math.round(delayMs)).toSorted((a, b) => a - b).join(' '));
		t.true(Math.max(...delays) < maxDelayMs);
	});
}
