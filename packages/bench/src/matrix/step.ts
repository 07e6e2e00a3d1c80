import {EffectKind, RecordKind, type Effect} from '@bluebellyard/core';
import type {FakeTarget} from './fake-target.js';
import type {SimulatedInstance} from './simulated-instance.js';
import {baseRules, type Simulation} from './simulation.js';

/** Steps of the protocols at which faults can start. */
export enum Step {
	Join = 'join',
	Tenure = 'tenure',
	Grant = 'grant',
	Renew = 'renew',
	Move = 'move',
	Release = 'release',
	Publish = 'publish',
	Snapshot = 'snapshot',
	Drain = 'drain',
	Evict = 'evict',
	Request = 'request',
}

/** Where a step happens: the instance that executes it and the target that it concerns. */
export type StepLocation = {
	readonly instance: SimulatedInstance;
	readonly target: FakeTarget;
};

/** How a step is triggered and recognized. */
type StepDefinition = {
	/** Makes the step happen. */
	readonly start: (simulation: Simulation) => void;
	/** Returns whether an effect is the step. Absent if the step is observed in another way. */
	readonly isStep?: (effect: Effect) => boolean;
};

const addedTarget = 'a-checking-2';

function addTarget(simulation: Simulation): void {
	simulation.addTarget(addedTarget, 'checking', 'a');
}

function drainTargets(simulation: Simulation): void {
	simulation.publishRules(`${baseRules}out target b-checking # matrix\n`);
	simulation.publishRules(`${baseRules}out target c-trusting # matrix\n`);
}

function ignore(): void {
	// The step happens without a trigger.
}

const appendsRecord = (kind: RecordKind) => (effect: Effect) => effect.kind === EffectKind.Append && effect.record.kind === kind;

const steps: Readonly<Record<Step, StepDefinition>> = {
	[Step.Join]: {
		start(simulation) {
			simulation.startInstance('a4');
		},
		isStep: appendsRecord(RecordKind.Join),
	},
	[Step.Tenure]: {start: addTarget, isStep: appendsRecord(RecordKind.Tenure)},
	[Step.Grant]: {
		start: addTarget,
		isStep: effect => effect.kind === EffectKind.Grant && effect.grant.length > 0,
	},
	[Step.Renew]: {
		start: ignore,
		isStep: effect => effect.kind === EffectKind.Grant && effect.until > 0 && effect.grant.length === 0 && effect.revoke.length === 0,
	},
	[Step.Move]: {start: drainTargets, isStep: appendsRecord(RecordKind.Moves)},
	[Step.Release]: {
		start: drainTargets,
		isStep: effect => effect.kind === EffectKind.Grant && effect.revoke.length > 0,
	},
	[Step.Publish]: {start: drainTargets},
	[Step.Snapshot]: {
		start(simulation) {
			simulation.rng.pick([...simulation.instances.values()]).writeSnapshot();
		},
	},
	[Step.Drain]: {
		start(simulation) {
			simulation.rng.pick(findStewards(simulation)).leave();
		},
		isStep: effect => effect.kind === EffectKind.DrainTarget,
	},
	[Step.Evict]: {
		start(simulation) {
			simulation.rng.pick([...simulation.instances.values()]).node.kill();
		},
		isStep: appendsRecord(RecordKind.Evict),
	},
	[Step.Request]: {start: ignore},
};

/** Returns the instances that are the steward of at least one target. */
function findStewards(simulation: Simulation): SimulatedInstance[] {
	return [...simulation.instances.values()].filter(instance =>
		[...instance.member?.tables.targets.values() ?? []].some(row => row.steward === instance.member?.id));
}

/** Triggers a step and calls `onReached` the first time it happens. */
export function triggerStep(simulation: Simulation, step: Step, onReached: (location: StepLocation) => void): void {
	let isReached = false;
	const reach = (instance: SimulatedInstance, name: string | undefined) => {
		if (!isReached) {
			isReached = true;
			onReached({instance, target: simulation.targets.get(name ?? '') ?? chooseTarget(simulation, instance)});
		}
	};

	simulation.probe = {
		onEffect(instance, effect) {
			if (steps[step].isStep?.(effect)) {
				reach(instance, 'target' in effect ? effect.target : undefined);
			}
		},
		onOrder(instance, target) {
			if (step === Step.Request) {
				reach(instance, target);
			}
		},
		onSnapshot(instance) {
			if (step === Step.Snapshot) {
				reach(instance, undefined);
			}
		},
		onPublish(instance) {
			if (step === Step.Publish) {
				reach(instance, undefined);
			}
		},
	};
	steps[step].start(simulation);
}

/** Returns a random target of which the instance is the steward, or any target if it has none. */
function chooseTarget(simulation: Simulation, instance: SimulatedInstance): FakeTarget {
	const targets = [...simulation.targets.values()];
	const own = targets.filter(target => instance.member?.tables.targets.get(target.name)?.steward === instance.member?.id);
	return simulation.rng.pick(own.length > 0 ? own : targets);
}
