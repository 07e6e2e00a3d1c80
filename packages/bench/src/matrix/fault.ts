import type {Host} from './host.js';
import {LinkFault} from './network.js';
import type {Site} from './site.js';
import type {Place} from './step.js';
import {maxRateError, type World} from './world.js';

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

type FaultInjector = (simulation: World, place: Place) => Heal;

type NodePredicate = (site: Site) => boolean;

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
function chooseSplit(simulation: World, {host, target}: Place): Split {
	const {domain} = host.site;
	const isHost: NodePredicate = site => site === host.site;
	const isInside: NodePredicate = site => site.domain === domain;
	const isOutside: NodePredicate = site => site.domain !== domain && site.domain !== 'outside';
	const isPeer: NodePredicate = site => site !== host.site && isInside(site);
	const isLog: NodePredicate = site => site === simulation.logSite;
	const beside = findDomainPeer(simulation, host);
	const otherDomain = simulation.rng.pick(['a', 'b', 'c'].filter(name => name !== domain));
	return simulation.rng.pick<Split>([
		{near: isHost, far: anyNode},
		{near: isInside, far: isOutside},
		{near: isHost, far: isLog},
		{near: isInside, far: isLog},
		{near: site => isHost(site) || site === beside?.site, far: isLog},
		{near: isHost, far: site => site === target.site},
		{near: site => site === target.site, far: anyNode},
		{near: isInside, far: site => site.domain === otherDomain},
		{near: isHost, far: isPeer},
	]);
}

function addLinkFault(simulation: World, fault: LinkFault, near: NodePredicate, far: NodePredicate): Heal {
	return simulation.network.addRule({fault, from: near, to: far});
}

function addLinkFaultBothWays(simulation: World, fault: LinkFault, {near, far}: Split): Heal {
	const heals = [addLinkFault(simulation, fault, near, far), addLinkFault(simulation, fault, far, near)];
	return () => {
		for (const heal of heals) {
			heal();
		}
	};
}

/** Returns another instance of the same failure domain, or undefined if there is none. */
function findDomainPeer(simulation: World, host: Host): Host | undefined {
	return [...simulation.hosts.values()].find(other => other !== host && other.site.domain === host.site.domain);
}

/** Chooses the node of the location, of another instance of its failure domain, or of its target. */
function chooseNode(simulation: World, {host, target}: Place): Site {
	const beside = findDomainPeer(simulation, host);
	return simulation.rng.pick([host.site, host.site, beside?.site ?? host.site, target.site]);
}

function pauseNode(site: Site): Heal {
	site.pause();
	return () => {
		site.resume();
	};
}

function killNode(simulation: World, place: Place): Heal {
	const site = chooseNode(simulation, place);
	if (site !== place.target.site) {
		site.kill();
		return () => {
			simulation.replaceLost();
		};
	}

	site.pause();
	return () => {
		place.target.restart();
		site.resume();
	};
}

function restartCold(simulation: World, place: Place): Heal {
	if (simulation.rng.chance(0.5)) {
		place.target.restart();
	} else {
		simulation.hosts.get(place.host.name)?.site.kill();
		simulation.startInstance(place.host.name);
	}

	return () => {
		simulation.replaceLost();
	};
}

function loseAnswers(simulation: World, {host}: Place): Heal {
	const isHost: NodePredicate = site => site === host.site;
	const isLog: NodePredicate = site => site === simulation.logSite;
	const [from, to] = simulation.rng.pick<[NodePredicate, NodePredicate]>([[isHost, anyNode], [anyNode, isHost], [isLog, isHost], [isLog, anyNode]]);
	return addLinkFault(simulation, LinkFault.LoseAnswers, from, to);
}

/** Sets the clock rates of the instance and its target as far apart as allowed, and the other rates to either extreme. */
function driftClocks(simulation: World, {host, target}: Place): Heal {
	const sites = [...simulation.hosts.values()].map(other => other.site);
	const sign = simulation.rng.pick([-1, 1]);
	for (const site of sites) {
		site.setRate(1 + (simulation.rng.pick([-1, 1]) * maxRateError));
	}

	host.site.setRate(1 - (sign * maxRateError));
	target.site.setRate(1 + (sign * maxRateError));
	return () => {
		for (const site of [...sites, target.site]) {
			site.setRate(1);
		}
	};
}

function slowTarget({target}: Place): Heal {
	target.isSlow = true;
	return () => {
		target.isSlow = false;
	};
}

/** Cuts the instance off from the log while records that it has not read are truncated. */
function truncateBeyondReader(simulation: World, {host}: Place): Heal {
	const heal = addLinkFaultBothWays(simulation, LinkFault.Cut, {near: site => site === host.site, far: site => site === simulation.logSite});
	for (let pair = 0; pair < foreignRecordGroups; pair++) {
		simulation.log.putForeign();
	}

	simulation.queue.after(snapshotDelayMs, () => {
		simulation.rng.pick([...simulation.hosts.values()].filter(other => other !== host)).writeSnapshot();
	});
	simulation.queue.after(truncateDelayMs, () => {
		simulation.passRetention();
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
	[Fault.LogSlow]: simulation => addLinkFaultBothWays(simulation, LinkFault.Slow, {near: anyNode, far: site => site === simulation.logSite}),
	[Fault.RetentionPassed]: truncateBeyondReader,
};

/** Starts a fault at a location. Returns the function that ends it. */
export function inject(simulation: World, fault: Fault, place: Place): Heal {
	return faultInjectors[fault](simulation, place);
}
