import {EffectKind, RecordKind, type Effect} from '@bluebellyard/core';
import type {FakeTarget} from './fake-target.js';
import type {SimulatedInstance} from './simulated-instance.js';
import {baseRules, type Simulation} from './simulation.js';

/** Steps of the protocols, at each of which faults begin. */
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

/** Where a step happens: the instance that takes it, and the target it is about. */
export type StepLocation = {
	readonly instance: SimulatedInstance;
	readonly target: FakeTarget;
};

/** How a step is brought about and recognised. */
type StepRow = {
	/** Makes the step happen. */
	readonly start: (world: Simulation) => void;
	/** Whether this effect is the step. */
	readonly isStep?: (effect: Effect) => boolean;
};

const addedTarget = 'a-checking-2';

function addTarget(world: Simulation): void {
	world.addTarget(addedTarget, 'checking', 'a');
}

function takeTargetOut(world: Simulation): void {
	world.publishRules(`${baseRules}out target b-checking # matrix\n`);
	world.publishRules(`${baseRules}out target c-trusting # matrix\n`);
}

function nothing(): void {
	// The step happens all the time.
}

const isRecord = (kind: RecordKind) => (effect: Effect) => effect.kind === EffectKind.Append && effect.record.kind === kind;

const steps: Readonly<Record<Step, StepRow>> = {
	[Step.Join]: {
		start(world) {
			world.startInstance('a4');
		},
		isStep: isRecord(RecordKind.Join),
	},
	[Step.Tenure]: {start: addTarget, isStep: isRecord(RecordKind.Tenure)},
	[Step.Grant]: {
		start: addTarget,
		isStep: effect => effect.kind === EffectKind.Grant && effect.grant.length > 0,
	},
	[Step.Renew]: {
		start: nothing,
		isStep: effect => effect.kind === EffectKind.Grant && effect.until > 0 && effect.grant.length === 0 && effect.revoke.length === 0,
	},
	[Step.Move]: {start: takeTargetOut, isStep: isRecord(RecordKind.Moves)},
	[Step.Release]: {
		start: takeTargetOut,
		isStep: effect => effect.kind === EffectKind.Grant && effect.revoke.length > 0,
	},
	[Step.Publish]: {start: takeTargetOut},
	[Step.Snapshot]: {
		start(world) {
			world.rng.pick([...world.instances.values()]).writeSnapshot();
		},
	},
	[Step.Drain]: {
		start(world) {
			world.rng.pick(stewards(world)).leave();
		},
		isStep: effect => effect.kind === EffectKind.DrainTarget,
	},
	[Step.Evict]: {
		start(world) {
			world.rng.pick([...world.instances.values()]).node.kill();
		},
		isStep: isRecord(RecordKind.Evict),
	},
	[Step.Request]: {start: nothing},
};

/** Hosts that are stewards of any target. */
function stewards(world: Simulation): SimulatedInstance[] {
	return [...world.instances.values()].filter(host =>
		[...host.member?.tables.targets.values() ?? []].some(row => row.steward === host.member?.id));
}

/** Makes a step happen and calls `reached` at its first moment, once. */
export function triggerStep(world: Simulation, step: Step, reached: (place: StepLocation) => void): void {
	let isReached = false;
	const reach = (host: SimulatedInstance, name: string | undefined) => {
		if (!isReached) {
			isReached = true;
			reached({instance: host, target: world.targets.get(name ?? '') ?? targetOf(world, host)});
		}
	};

	world.probe = {
		onEffect(host, effect) {
			if (steps[step].isStep?.(effect)) {
				reach(host, 'target' in effect ? effect.target : undefined);
			}
		},
		onOrder(host, target) {
			if (step === Step.Request) {
				reach(host, target);
			}
		},
		onSnapshot(host) {
			if (step === Step.Snapshot) {
				reach(host, undefined);
			}
		},
		onPublish(host) {
			if (step === Step.Publish) {
				reach(host, undefined);
			}
		},
	};
	steps[step].start(world);
}

/** A target of the host, or any. */
function targetOf(world: Simulation, host: SimulatedInstance): FakeTarget {
	const targets = [...world.targets.values()];
	const own = targets.filter(target => host.member?.tables.targets.get(target.name)?.steward === host.member?.id);
	return world.rng.pick(own.length > 0 ? own : targets);
}
