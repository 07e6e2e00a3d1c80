import type {SimulatedInstance} from './simulated-instance.js';
import {LinkFault} from './network.js';
import type {SimulatedNode} from './simulated-node.js';
import type {StepLocation} from './step.js';
import {maxClockRateError, type Simulation} from './simulation.js';

/** What goes wrong. */
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

/** Ends a fault. */
type Heal = () => void;

type Inject = (world: Simulation, place: StepLocation) => Heal;

type SiteSet = (site: SimulatedNode) => boolean;

/** Two sets of sites between which a link fault lies. */
type Split = {
	readonly near: SiteSet;
	readonly far: SiteSet;
};

const any: SiteSet = () => true;
const snapshotAfterMs = 300;
const truncateAfterMs = 900;
const foreignPairs = 6;
/** Share of the slow faults that slow a target's work and not a link. */
const targetSlowShare = 0.3;

/** Ways to cut the place off; one is taken by seed. */
function chooseSplit(world: Simulation, {instance: host, target}: StepLocation): Split {
	const {domain} = host.node;
	const isHost: SiteSet = site => site === host.node;
	const isInside: SiteSet = site => site.domain === domain;
	const isOutside: SiteSet = site => site.domain !== domain && site.domain !== 'outside';
	const isPeer: SiteSet = site => site !== host.node && isInside(site);
	const isLog: SiteSet = site => site === world.logNode;
	const beside = besideOf(world, host);
	const otherDomain = world.rng.pick(['a', 'b', 'c'].filter(name => name !== domain));
	return world.rng.pick<Split>([
		{near: isHost, far: any},
		{near: isInside, far: isOutside},
		{near: isHost, far: isLog},
		{near: isInside, far: isLog},
		{near: site => isHost(site) || site === beside?.node, far: isLog},
		{near: isHost, far: site => site === target.node},
		{near: site => site === target.node, far: any},
		{near: isInside, far: site => site.domain === otherDomain},
		{near: isHost, far: isPeer},
	]);
}

function onLink(world: Simulation, fault: LinkFault, near: SiteSet, far: SiteSet): Heal {
	return world.network.addRule({fault, from: near, to: far});
}

function onBothWays(world: Simulation, fault: LinkFault, {near, far}: Split): Heal {
	const heals = [onLink(world, fault, near, far), onLink(world, fault, far, near)];
	return () => {
		for (const heal of heals) {
			heal();
		}
	};
}

/** Another instance of the same failure domain. */
function besideOf(world: Simulation, host: SimulatedInstance): SimulatedInstance | undefined {
	return [...world.instances.values()].find(other => other !== host && other.node.domain === host.node.domain);
}

/** The site of the place, of an instance beside it, or of its target. */
function chooseSite(world: Simulation, {instance: host, target}: StepLocation): SimulatedNode {
	const beside = besideOf(world, host);
	return world.rng.pick([host.node, host.node, beside?.node ?? host.node, target.node]);
}

function pause(site: SimulatedNode): Heal {
	site.pause();
	return () => {
		site.resume();
	};
}

function lose(world: Simulation, place: StepLocation): Heal {
	const site = chooseSite(world, place);
	if (site !== place.target.node) {
		site.kill();
		return () => {
			world.restartLostInstances();
		};
	}

	site.pause();
	return () => {
		place.target.restart();
		site.resume();
	};
}

function restart(world: Simulation, place: StepLocation): Heal {
	if (world.rng.chance(0.5)) {
		place.target.restart();
	} else {
		world.instances.get(place.instance.name)?.node.kill();
		world.startInstance(place.instance.name);
	}

	return () => {
		world.restartLostInstances();
	};
}

function loseAnswers(world: Simulation, {instance: host}: StepLocation): Heal {
	const isHost: SiteSet = site => site === host.node;
	const isLog: SiteSet = site => site === world.logNode;
	const [from, to] = world.rng.pick<[SiteSet, SiteSet]>([[isHost, any], [any, isHost], [isLog, isHost], [isLog, any]]);
	return onLink(world, LinkFault.LoseAnswers, from, to);
}

/** The clocks of the place and its target run as far apart as is allowed, the others either way. */
function drift(world: Simulation, {instance: host, target}: StepLocation): Heal {
	const sites = [...world.instances.values()].map(other => other.node);
	const sign = world.rng.pick([-1, 1]);
	for (const site of sites) {
		site.setClockRate(1 + (world.rng.pick([-1, 1]) * maxClockRateError));
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

function passRetention(world: Simulation, {instance: host}: StepLocation): Heal {
	const heal = onBothWays(world, LinkFault.Cut, {near: site => site === host.node, far: site => site === world.logNode});
	for (let pair = 0; pair < foreignPairs; pair++) {
		world.log.appendForeignRecords();
	}

	world.queue.schedule(snapshotAfterMs, () => {
		world.rng.pick([...world.instances.values()].filter(other => other !== host)).writeSnapshot();
	});
	world.queue.schedule(truncateAfterMs, () => {
		world.truncateLog();
	});
	return heal;
}

const injections: Readonly<Record<Fault, Inject>> = {
	[Fault.Lost]: lose,
	[Fault.Paused]: (world, place) => pause(chooseSite(world, place)),
	[Fault.Partition]: (world, place) => onBothWays(world, LinkFault.Cut, chooseSplit(world, place)),
	[Fault.PartitionOneWay](world, place) {
		const {near, far} = chooseSplit(world, place);
		return world.rng.chance(0.5) ? onLink(world, LinkFault.Cut, near, far) : onLink(world, LinkFault.Cut, far, near);
	},
	[Fault.Slow]: (world, place) => world.rng.chance(targetSlowShare)
		? slowTarget(place)
		: onBothWays(world, LinkFault.Slow, chooseSplit(world, place)),
	[Fault.AnswerLost]: loseAnswers,
	[Fault.Duplicate]: world => onLink(world, LinkFault.Duplicate, any, any),
	[Fault.Reordered]: world => onLink(world, LinkFault.Reorder, any, any),
	[Fault.ClockDrift]: drift,
	[Fault.ColdRestart]: restart,
	[Fault.LogDown](world) {
		world.log.isDown = true;
		return () => {
			world.log.isDown = false;
		};
	},
	[Fault.LogSlow]: world => onBothWays(world, LinkFault.Slow, {near: any, far: site => site === world.logNode}),
	[Fault.RetentionPassed]: passRetention,
};

/** Begins a fault at a place; the result ends it. */
export function injectFault(world: Simulation, fault: Fault, place: StepLocation): Heal {
	return injections[fault](world, place);
}
