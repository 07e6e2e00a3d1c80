import type {ExecutionContext} from 'ava';
import type {TargetInfo} from '@bluebellyard/core';
import {sleep} from '../net/index.js';
import type {NodeInfo} from '../view/index.js';
import {CoordinatorCluster, type ClusterInstance} from './coordinator-cluster.js';

/** Processor time of the instances in cores, in turn: one in five is large. */
const cores = [1.35, 0.2, 0.2, 0.27, 0.27];

const instanceCount = 15;

const seeds = [1, 2, 3, 4, 5, 6, 7, 8];

/** Time from the first ping of a leader until a disturbance, in milliseconds: by seed another part of the interval between two pings. */
const settleMs = 700;
const settleStepMs = 77;

/** Something that happens to a cluster around a change in the store. */
export type Disturbance = {
	readonly title: string;
	/** Returns the instances that are not observed, as they don't reach the store. */
	readonly begin: (cluster: CoordinatorCluster, leader: ClusterInstance) => readonly ClusterInstance[] | void;
};

function cutAround(cluster: CoordinatorCluster, isInside: (node: NodeInfo) => boolean): void {
	cluster.cut((a, b) => isInside(a) !== isInside(b));
}

function smallest(cluster: CoordinatorCluster): ClusterInstance {
	return cluster.running.toSorted((a, b) => a.self.cores - b.self.cores)[0];
}

/** Disturbances under which every observed instance still reaches the store. */
export const disturbances: readonly Disturbance[] = [
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

/** Changes something in the store and returns the time until it has taken effect at all observed instances, in milliseconds. */
export type Measurement = (cluster: CoordinatorCluster, observed: readonly ClusterInstance[]) => Promise<number>;

/** Plays a disturbance once for each seed, in clusters with the given targets. Returns the times that `measure` finds, in milliseconds, shortest first. */
export async function playDisturbance(t: ExecutionContext, {begin}: Disturbance, measure: Measurement, targets: readonly TargetInfo[] = []): Promise<number[]> {
	const delays = await Promise.all(seeds.map(async seed => {
		const cluster = new CoordinatorCluster(instanceCount, seed, cores);
		t.teardown(() => {
			cluster.stop();
		});
		for (const target of targets) {
			cluster.targets.put(target.name, target);
		}

		await cluster.start();
		await sleep(settleMs + (seed * settleStepMs));
		const unobserved = begin(cluster, cluster.leader) ?? [];
		return measure(cluster, cluster.running.filter(instance => !unobserved.includes(instance)));
	}));
	const sorted = delays.map(delayMs => Math.round(delayMs)).toSorted((a, b) => a - b);
	t.log(sorted.join(' '));
	return sorted;
}
