import {EffectKind, RecordKind, type Mutation} from '@bluebellyard/core';
import {Fault, injectFault} from './fault.js';
import {Step, triggerStep, type StepLocation} from './step.js';
import {Invariant, type Violation} from './violation.js';
import {baseRules, Simulation} from './simulation.js';

/** Faults at a step: one or two. */
export type Cell = {
	readonly step: Step;
	readonly faults: readonly Fault[];
};

/** How a cell ended. */
export enum CellStatus {
	Passed = 'passed',
	Failed = 'failed',
	/** The step did not happen, so the faults were not tried at it. */
	NotReached = 'not-reached',
}

/** Result of one cell. */
export type CellResult = {
	readonly name: string;
	readonly seed: number;
	readonly status: CellStatus;
	readonly violation?: Violation;
};

const publishAtMs = 1500;
const warmUpMs = 9000;
const reachMs = 4000;
const faultMs = {min: 400, max: 3500};
const secondFaultMs = 800;
const settleMs = 3000;
const recoverMs = 15_000;
/** Time within which every shard of a sound world is served. */
const servedMs = 1500;
const sliceMs = 250;

/** Name of a cell; `parseCell` reads it. */
export function formatCellName({step, faults}: Cell): string {
	return `${step}:${faults.join('+')}`;
}

/** Reads the name of a cell; undefined when there is no such cell. */
export function parseCell(name: string): Cell | undefined {
	const [stepName, faultNames = ''] = name.split(':');
	const step = enumOf(Step, stepName);
	const faults = faultNames.split('+').map(part => enumOf(Fault, part));
	return step === undefined || faults.includes(undefined)
		? undefined
		: {step, faults: faults.filter(fault => fault !== undefined)};
}

function enumOf<T extends string>(values: Readonly<Record<string, T>>, text: string): T | undefined {
	return Object.values(values).find(value => String(value) === text);
}

/** Runs a cell from its seed. */
export function runCell(cell: Cell, seed: number, mutations: ReadonlySet<Mutation> = new Set()): CellResult {
	const world = new Simulation(seed, mutations);
	const run = new CellRun(world, cell);
	warmUp(world);
	run.tryFaults();
	run.settle();
	const {violation} = world.checker;
	const unbroken = run.isReached ? CellStatus.Passed : CellStatus.NotReached;
	return {
		name: formatCellName(cell), seed, status: violation === undefined ? unbroken : CellStatus.Failed, violation,
	};
}

/** Brings a world to where every shard is served. */
export function warmUp(world: Simulation): void {
	world.probe = quietProbe(world);
	runSimulation(world, publishAtMs);
	world.publishRules(baseRules);
	runSimulation(world, warmUpMs, () => world.queue.now > publishAtMs + servedMs && world.isEveryShardServed(servedMs));
	if (!world.isEveryShardServed(servedMs)) {
		world.checker.recordViolation(Invariant.Liveness, `warm-up: ${world.findUnservedShards(servedMs).join(' ')}`);
	}
}

/** Runs in slices until a time, or until `isDone` holds at the end of a slice, or an invariant broke. */
export function runSimulation(world: Simulation, time: number, isDone: () => boolean = () => false): void {
	const {queue, checker: watcher} = world;
	const isBroken = () => watcher.violation !== undefined;
	while (queue.now < time && !isBroken() && !isDone()) {
		queue.runUntil(Math.min(time, queue.now + sliceMs), isBroken);
	}
}

class CellRun {
	isReached = false;
	private readonly heals: Array<() => void> = [];

	private readonly world: Simulation;
	private readonly cell: Cell;

	constructor(world: Simulation, cell: Cell) {
		this.world = world;
		this.cell = cell;
	}

	/** Makes the step happen, begins the faults at it and ends them later. */
	tryFaults(): void {
		const {world, cell} = this;
		if (world.checker.violation !== undefined) {
			return;
		}

		const lastsMs = world.rng.between(faultMs.min, faultMs.max);
		let healAt = Infinity;
		triggerStep(world, cell.step, place => {
			this.isReached = true;
			healAt = world.queue.now + lastsMs;
			this.begin(place, lastsMs);
		});
		runSimulation(world, world.queue.now + reachMs, () => this.isReached);
		if (this.isReached) {
			runSimulation(world, healAt);
		}

		for (const heal of this.heals) {
			heal();
		}

		world.restartLostInstances();
	}

	/** Lets the world recover and checks that it does. */
	settle(): void {
		const {world} = this;
		const healedAt = world.queue.now;
		runSimulation(world, healedAt + settleMs);
		runSimulation(world, healedAt + recoverMs, () => world.isEveryShardServed(servedMs) && world.isConfigInForce(servedMs));
		if (world.checker.violation === undefined) {
			world.checkFinalState(servedMs);
		}
	}

	private begin(place: StepLocation, lastsMs: number): void {
		const {world} = this;
		const [first, second] = this.cell.faults;
		this.heals.push(injectFault(world, first, place));
		if (second !== undefined) {
			world.queue.schedule(world.rng.between(0, Math.min(secondFaultMs, lastsMs)), () => {
				this.heals.push(injectFault(world, second, place));
			});
		}
	}
}

/** While nothing is wrong nobody has to be evicted. */
function quietProbe(world: Simulation): Simulation['probe'] {
	return {
		onEffect(host, effect) {
			if (effect.kind === EffectKind.Append && effect.record.kind === RecordKind.Evict) {
				world.checker.recordViolation(Invariant.NoNeedlessEviction, `${host.name} evicts ${effect.record.members.join(' ')}`);
			}
		},
		onOrder: ignore,
		onSnapshot: ignore,
		onPublish: ignore,
	};
}

function ignore(): void {
	// Nothing to see.
}
