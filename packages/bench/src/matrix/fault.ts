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

type FaultInjector = (simulation: Simulation, place: StepLocation) => Heal;

type NodePredicate = (site: SimulatedNode) => boolean;

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
function chooseSplit(simulation: Simulation, {instance: host, target}: StepLocation): Split {
	const {domain} = host.node;
	const isHost: NodePredicate = site => site === host.node;
	const isInside: NodePredicate = site => site.domain === domain;
	const isOutside: NodePredicate = site => site.domain !== domain && site.domain !== 'outside';
	const isPeer: NodePredicate = site => site !== host.node && isInside(site);
	const isLog: NodePredicate = site => site === simulation.logNode;
	const beside = findDomainPeer(simulation, host);
	const otherDomain = simulation.rng.pick(['a', 'b', 'c'].filter(name => name !== domain));
	return simulation.rng.pick<Split>([
		{near: isHost, far: anyNode},
		{near: isInside, far: isOutside},
		{near: isHost, far: isLog},
		{near: isInside, far: isLog},
		{near: site => isHost(site) || site === beside?.node, far: isLog},
		{near: isHost, far: site => site === target.node},
		{near: site => site === target.node, far: anyNode},
		{near: isInside, far: site => site.domain === otherDomain},
		{near: isHost, far: isPeer},
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
function findDomainPeer(simulation: Simulation, host: SimulatedInstance): SimulatedInstance | undefined {
	return [...simulation.instances.values()].find(other => other !== host && other.node.domain === host.node.domain);
}

/** Chooses the node of the location, of another instance of its failure domain, or of its target. */
function chooseNode(simulation: Simulation, {instance: host, target}: StepLocation): SimulatedNode {
	const beside = findDomainPeer(simulation, host);
	return simulation.rng.pick([host.node, host.node, beside?.node ?? host.node, target.node]);
}

function pauseNode(site: SimulatedNode): Heal {
	site.pause();
	return () => {
		site.resume();
	};
}

function killNode(simulation: Simulation, place: StepLocation): Heal {
	const site = chooseNode(simulation, place);
	if (site !== place.target.node) {
		site.kill();
		return () => {
			simulation.restartLostInstances();
		};
	}

	site.pause();
	return () => {
		place.target.restart();
		site.resume();
	};
}

function restartCold(simulation: Simulation, place: StepLocation): Heal {
	if (simulation.rng.chance(0.5)) {
		place.target.restart();
	} else {
		simulation.instances.get(place.instance.name)?.node.kill();
		simulation.startInstance(place.instance.name);
	}

	return () => {
		simulation.restartLostInstances();
	};
}

function loseAnswers(simulation: Simulation, {instance: host}: StepLocation): Heal {
	const isHost: NodePredicate = site => site === host.node;
	const isLog: NodePredicate = site => site === simulation.logNode;
	const [from, to] = simulation.rng.pick<[NodePredicate, NodePredicate]>([[isHost, anyNode], [anyNode, isHost], [isLog, isHost], [isLog, anyNode]]);
	return addLinkFault(simulation, LinkFault.LoseAnswers, from, to);
}

/** Sets the clock rates of the instance and its target as far apart as allowed, and the other rates to either extreme. */
function driftClocks(simulation: Simulation, {instance: host, target}: StepLocation): Heal {
	const sites = [...simulation.instances.values()].map(other => other.node);
	const sign = simulation.rng.pick([-1, 1]);
	for (const site of sites) {
		site.setClockRate(1 + (simulation.rng.pick([-1, 1]) * maxClockRateError));
	}

	host.node.setClockRate(1 - (sign * maxClockRateError));
	target.node.setClockRate(1 + (sign * maxClockRateError));
	return () => {
		for (const site of [...sites, target.node]) {
			site.setClockRate(1);
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
function truncateBeyondReader(simulation: Simulation, {instance: host}: StepLocation): Heal {
	const heal = addLinkFaultBothWays(simulation, LinkFault.Cut, {near: site => site === host.node, far: site => site === simulation.logNode});
	for (let pair = 0; pair < foreignRecordGroups; pair++) {
		simulation.log.appendForeignRecords();
	}

	simulation.queue.schedule(snapshotDelayMs, () => {
		simulation.rng.pick([...simulation.instances.values()].filter(other => other !== host)).writeSnapshot();
	});
	simulation.queue.schedule(truncateDelayMs, () => {
		simulation.truncateLog();
	});
	return heal;
}

const faultInjectors: Readonly<Record<Fault, FaultInjector>> = {
	[Fault.Lost]: killNode,
	[Fault.Paused]: (simulation, place) => pauseNode(chooseNode(simulation, place)),
	[Fault.Partition]: (simulation, place) => addLinkFaultBothWays(simulation, LinkFault.Cut, chooseSplit(simulation, place)),
	[Fault.PartitionOneWay](simulation, place) {
		const {near, far} = chooseSplit(simulation, place);
		return simulation.rng.chance(0.5) ? addLinkFault(simulation, LinkFault.Cut, near, far) : addLinkFault(simulation, LinkFault.Cut, far, near);
	},
	[Fault.Slow]: (simulation, place) => simulation.rng.chance(targetSlowShare)
		? slowTarget(place)
		: addLinkFaultBothWays(simulation, LinkFault.Slow, chooseSplit(simulation, place)),
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
	[Fault.LogSlow]: simulation => addLinkFaultBothWays(simulation, LinkFault.Slow, {near: anyNode, far: site => site === simulation.logNode}),
	[Fault.RetentionPassed]: truncateBeyondReader,
};

/** Starts a fault at a location. Returns the function that ends it. */
export function injectFault(simulation: Simulation, fault: Fault, place: StepLocation): Heal {
	return faultInjectors[fault](simulation, place);
}
