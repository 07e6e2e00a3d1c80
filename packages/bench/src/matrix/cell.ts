import {EffectKind, RecordKind, type Mutation} from '@bluebellyard/core';
import {Fault, injectFault} from './fault.js';
import {Step, triggerStep, type StepLocation} from './step.js';
import {Invariant, type Violation} from './violation.js';
import {baseRules, Simulation} from './simulation.js';

/** A test case of the matrix: one or two faults that start at a step of a protocol. */
export type Cell = {
	readonly step: Step;
	readonly faults: readonly Fault[];
};

/** Outcome of a cell. */
export enum CellStatus {
	Passed = 'passed',
	Failed = 'failed',
	/** The step did not happen, so no fault was injected. */
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
const warmUpEndMs = 9000;
const stepTimeoutMs = 4000;
const faultDurationMs = {min: 400, max: 3500};
const maxSecondFaultDelayMs = 800;
const minRecoveryMs = 3000;
const maxRecoveryMs = 15_000;
/** In a simulation without faults, every shard completes a request within this time. */
const servedWithinMs = 1500;
const sliceMs = 250;

/** Returns the name of a cell as `step:fault` or `step:fault+fault`; `parseCell` reads it. */
export function formatCellName({step, faults}: Cell): string {
	return `${step}:${faults.join('+')}`;
}

/** Parses the name of a cell. Returns undefined if there is no such cell. */
export function parseCell(name: string): Cell | undefined {
	const [stepName, faultNames = ''] = name.split(':');
	const step = findEnumValue(Step, stepName);
	const faults = faultNames.split('+').map(part => findEnumValue(Fault, part));
	return step === undefined || faults.includes(undefined)
		? undefined
		: {step, faults: faults.filter(fault => fault !== undefined)};
}

function findEnumValue<T extends string>(values: Readonly<Record<string, T>>, text: string): T | undefined {
	return Object.values(values).find(value => String(value) === text);
}

/** Runs a cell in a new simulation. The seed determines the run completely. */
export function runCell(cell: Cell, seed: number, mutations: ReadonlySet<Mutation> = new Set()): CellResult {
	const simulation = new Simulation(seed, mutations);
	const run = new CellRun(simulation, cell);
	warmUp(simulation);
	run.injectFaults();
	run.checkRecovery();
	const {violation} = simulation.checker;
	const statusWithoutViolation = run.isStepReached ? CellStatus.Passed : CellStatus.NotReached;
	return {
		name: formatCellName(cell), seed, status: violation === undefined ? statusWithoutViolation : CellStatus.Failed, violation,
	};
}

/** Publishes the base rules and runs until every shard is served; records a liveness violation if that takes too long. */
export function warmUp(simulation: Simulation): void {
	simulation.probe = createWarmUpProbe(simulation);
	runSimulation(simulation, publishAtMs);
	simulation.publishRules(baseRules);
	runSimulation(simulation, warmUpEndMs, () => simulation.queue.now > publishAtMs + servedWithinMs && simulation.isEveryShardServed(servedWithinMs));
	if (!simulation.isEveryShardServed(servedWithinMs)) {
		simulation.checker.recordViolation(Invariant.Liveness, `warm-up: ${simulation.findUnservedShards(servedWithinMs).join(' ')}`);
	}
}

/** Runs in slices until the given time, until `isDone` returns true after a slice, or until an invariant is violated. */
export function runSimulation(simulation: Simulation, time: number, isDone: () => boolean = () => false): void {
	const {queue, checker} = simulation;
	const hasViolation = () => checker.violation !== undefined;
	while (queue.now < time && !hasViolation() && !isDone()) {
		queue.runUntil(Math.min(time, queue.now + sliceMs), hasViolation);
	}
}

class CellRun {
	isStepReached = false;
	private readonly heals: Array<() => void> = [];

	private readonly simulation: Simulation;
	private readonly cell: Cell;

	constructor(simulation: Simulation, cell: Cell) {
		this.simulation = simulation;
		this.cell = cell;
	}

	/** Triggers the step, starts the faults when it happens and ends them after a random duration. */
	injectFaults(): void {
		const {simulation, cell} = this;
		if (simulation.checker.violation !== undefined) {
			return;
		}

		const durationMs = simulation.rng.between(faultDurationMs.min, faultDurationMs.max);
		let healAt = Infinity;
		triggerStep(simulation, cell.step, location => {
			this.isStepReached = true;
			healAt = simulation.queue.now + durationMs;
			this.startFaults(location, durationMs);
		});
		runSimulation(simulation, simulation.queue.now + stepTimeoutMs, () => this.isStepReached);
		if (this.isStepReached) {
			runSimulation(simulation, healAt);
		}

		for (const heal of this.heals) {
			heal();
		}

		simulation.restartLostInstances();
	}

	/** Runs until the simulation has recovered from the faults, then checks its final state. */
	checkRecovery(): void {
		const {simulation} = this;
		const healedAt = simulation.queue.now;
		runSimulation(simulation, healedAt + minRecoveryMs);
		runSimulation(simulation, healedAt + maxRecoveryMs, () => simulation.isEveryShardServed(servedWithinMs) && simulation.isConfigInForce(servedWithinMs));
		if (simulation.checker.violation === undefined) {
			simulation.checkFinalState(servedWithinMs);
		}
	}

	private startFaults(location: StepLocation, durationMs: number): void {
		const {simulation} = this;
		const [first, second] = this.cell.faults;
		this.heals.push(injectFault(simulation, first, location));
		if (second !== undefined) {
			simulation.queue.schedule(simulation.rng.between(0, Math.min(maxSecondFaultDelayMs, durationMs)), () => {
				this.heals.push(injectFault(simulation, second, location));
			});
		}
	}
}

/** Reports every eviction during warm-up as needless, since no fault is active yet. */
function createWarmUpProbe(simulation: Simulation): Simulation['probe'] {
	return {
		onEffect(instance, effect) {
			if (effect.kind === EffectKind.Append && effect.record.kind === RecordKind.Evict) {
				simulation.checker.recordViolation(Invariant.NoNeedlessEviction, `${instance.name} evicts ${effect.record.members.join(' ')}`);
			}
		},
		onOrder: ignore,
		onSnapshot: ignore,
		onPublish: ignore,
	};
}

function ignore(): void {
	// Only evictions matter during warm-up.
}
