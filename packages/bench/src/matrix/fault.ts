import type {SimulatedInstance} from './simulated-instance.js';
import {LinkFault} from './network.js';
import type {SimulatedNode} from './simulated-node.js';
import type {StepLocation} from './step.js';
import {maxClockRateError, type Simulation} from './simulation.js';

/** Kinds of faults. */
export enum Fault {
	Lost = 'lost',
	Paused = 'paused',
	Partition = 'partition',
	PartitionOneWay = 'partition-one-way',
	Slow = 'slow',
	AnswerLost = 'answer-lost',
	Duplicate = 'duplicate',
	Reordered = 'reordered',
	ClockDrift = 'clock-drift',
	ColdRestart = 'cold-restart',
	LogDown = 'log-down',
	LogSlow = 'log-slow',
	RetentionPassed = 'retention-passed',
}

/** Function that ends a fault. */
type Heal = () => void;

type FaultInjector = (simulation: Simulation, location: StepLocation) => Heal;

type NodePredicate = (node: SimulatedNode) => boolean;

/** Two sets of nodes; a link fault affects the messages between them. */
type Split = {
	readonly near: NodePredicate;
	readonly far: NodePredicate;
};

const anyNode: NodePredicate = () => true;
const snapshotDelayMs = 300;
const truncateDelayMs = 900;
const foreignRecordGroups = 6;
/** Probability that a slow fault slows down the processing of a target instead of a link. */
const targetSlowShare = 0.3;

/** Chooses one of the ways to cut the location off from other nodes, by seed. */
function chooseSplit(simulation: Simulation, {instance, target}: StepLocation): Split {
	const {domain} = instance.node;
	const isInstanceNode: NodePredicate = node => node === instance.node;
	const isInside: NodePredicate = node => node.domain === domain;
	const isOutside: NodePredicate = node => node.domain !== domain && node.domain !== 'outside';
	const isPeer: NodePredicate = node => node !== instance.node && isInside(node);
	const isLogNode: NodePredicate = node => node === simulation.logNode;
	const peer = findDomainPeer(simulation, instance);
	const otherDomain = simulation.rng.pick(['a', 'b', 'c'].filter(name => name !== domain));
	return simulation.rng.pick<Split>([
		{near: isInstanceNode, far: anyNode},
		{near: isInside, far: isOutside},
		{near: isInstanceNode, far: isLogNode},
		{near: isInside, far: isLogNode},
		{near: node => isInstanceNode(node) || node === peer?.node, far: isLogNode},
		{near: isInstanceNode, far: node => node === target.node},
		{near: node => node === target.node, far: anyNode},
		{near: isInside, far: node => node.domain === otherDomain},
		{near: isInstanceNode, far: isPeer},
	]);
}

function addLinkFault(simulation: Simulation, fault: LinkFault, near: NodePredicate, far: NodePredicate): Heal {
	return simulation.network.addRule({fault, from: near, to: far});
}

function addLinkFaultBothWays(simulation: Simulation, fault: LinkFault, {near, far}: Split): Heal {
	const heals = [addLinkFault(simulation, fault, near, far), addLinkFault(simulation, fault, far, near)];
	return () => {
		for (const heal of heals) {
			heal();
		}
	};
}

/** Returns another instance of the same failure domain, or undefined if there is none. */
function findDomainPeer(simulation: Simulation, instance: SimulatedInstance): SimulatedInstance | undefined {
	return [...simulation.instances.values()].find(other => other !== instance && other.node.domain === instance.node.domain);
}

/** Chooses the node of the location, of another instance of its failure domain, or of its target. */
function chooseNode(simulation: Simulation, {instance, target}: StepLocation): SimulatedNode {
	const peer = findDomainPeer(simulation, instance);
	return simulation.rng.pick([instance.node, instance.node, peer?.node ?? instance.node, target.node]);
}

function pauseNode(node: SimulatedNode): Heal {
	node.pause();
	return () => {
		node.resume();
	};
}

function killNode(simulation: Simulation, location: StepLocation): Heal {
	const node = chooseNode(simulation, location);
	if (node !== location.target.node) {
		node.kill();
		return () => {
			simulation.restartLostInstances();
		};
	}

	node.pause();
	return () => {
		location.target.restart();
		node.resume();
	};
}

function restartCold(simulation: Simulation, location: StepLocation): Heal {
	if (simulation.rng.chance(0.5)) {
		location.target.restart();
	} else {
		simulation.instances.get(location.instance.name)?.node.kill();
		simulation.startInstance(location.instance.name);
	}

	return () => {
		simulation.restartLostInstances();
	};
}

function loseAnswers(simulation: Simulation, {instance}: StepLocation): Heal {
	const isInstanceNode: NodePredicate = node => node === instance.node;
	const isLogNode: NodePredicate = node => node === simulation.logNode;
	const [from, to] = simulation.rng.pick<[NodePredicate, NodePredicate]>([[isInstanceNode, anyNode], [anyNode, isInstanceNode], [isLogNode, isInstanceNode], [isLogNode, anyNode]]);
	return addLinkFault(simulation, LinkFault.LoseAnswers, from, to);
}

/** Sets the clock rates of the instance and its target as far apart as allowed, and the other rates to either extreme. */
function driftClocks(simulation: Simulation, {instance, target}: StepLocation): Heal {
	const nodes = [...simulation.instances.values()].map(other => other.node);
	const sign = simulation.rng.pick([-1, 1]);
	for (const node of nodes) {
		node.setClockRate(1 + (simulation.rng.pick([-1, 1]) * maxClockRateError));
	}

	instance.node.setClockRate(1 - (sign * maxClockRateError));
	target.node.setClockRate(1 + (sign * maxClockRateError));
	return () => {
		for (const node of [...nodes, target.node]) {
			node.setClockRate(1);
		}
	};
}

function slowTarget({target}: StepLocation): Heal {
	target.isSlow = true;
	return () => {
		target.isSlow = false;
	};
}

/** Cuts the instance off from the log while records that it has not read are truncated. */
function truncateBeyondReader(simulation: Simulation, {instance}: StepLocation): Heal {
	const heal = addLinkFaultBothWays(simulation, LinkFault.Cut, {near: node => node === instance.node, far: node => node === simulation.logNode});
	for (let group = 0; group < foreignRecordGroups; group++) {
		simulation.log.appendForeignRecords();
	}

	simulation.queue.schedule(snapshotDelayMs, () => {
		simulation.rng.pick([...simulation.instances.values()].filter(other => other !== instance)).writeSnapshot();
	});
	simulation.queue.schedule(truncateDelayMs, () => {
		simulation.truncateLog();
	});
	return heal;
}

const faultInjectors: Readonly<Record<Fault, FaultInjector>> = {
	[Fault.Lost]: killNode,
	[Fault.Paused]: (simulation, location) => pauseNode(chooseNode(simulation, location)),
	[Fault.Partition]: (simulation, location) => addLinkFaultBothWays(simulation, LinkFault.Cut, chooseSplit(simulation, location)),
	[Fault.PartitionOneWay](simulation, location) {
		const {near, far} = chooseSplit(simulation, location);
		return simulation.rng.chance(0.5) ? addLinkFault(simulation, LinkFault.Cut, near, far) : addLinkFault(simulation, LinkFault.Cut, far, near);
	},
	[Fault.Slow]: (simulation, location) => simulation.rng.chance(targetSlowShare)
		? slowTarget(location)
		: addLinkFaultBothWays(simulation, LinkFault.Slow, chooseSplit(simulation, location)),
	[Fault.AnswerLost]: loseAnswers,
	[Fault.Duplicate]: simulation => addLinkFault(simulation, LinkFault.Duplicate, anyNode, anyNode),
	[Fault.Reordered]: simulation => addLinkFault(simulation, LinkFault.Reorder, anyNode, anyNode),
	[Fault.ClockDrift]: driftClocks,
	[Fault.ColdRestart]: restartCold,
	[Fault.LogDown](simulation) {
		simulation.log.isDown = true;
		return () => {
			simulation.log.isDown = false;
		};
	},
	[Fault.LogSlow]: simulation => addLinkFaultBothWays(simulation, LinkFault.Slow, {near: anyNode, far: node => node === simulation.logNode}),
	[Fault.RetentionPassed]: truncateBeyondReader,
};

/** Starts a fault at a location. Returns the function that ends it. */
export function injectFault(simulation: Simulation, fault: Fault, location: StepLocation): Heal {
	return faultInjectors[fault](simulation, location);
}
