import test from 'ava';
import {ManualClock} from '@bluebellyard/core';
import {Telemetry} from '../telemetry/index.js';
import {View, type NodeInfo} from '../view/index.js';
import {CutOffInstances} from './cut-off-instances.js';

function node(name: string): NodeInfo {
	return {
		name, domain: 'x', incarnation: name, addr: `${name}:1`, cores: 1,
	};
}

class Harness {
	readonly view = new View();
	readonly clock = new ManualClock();
	changes = 0;
	readonly instances: CutOffInstances;

	constructor() {
		this.instances = new CutOffInstances({
			view: this.view, clock: this.clock, telemetry: new Telemetry(this.clock), onChange: () => {
				this.changes += 1;
			},
		});
	}
}

test('each change is published once, however often an instance repeats it', t => {
	const {instances, view} = new Harness();
	const harness = new Harness();
	for (let i = 0; i < 3; i += 1) {
		harness.instances.record('e1', true);
	}

	t.is(harness.changes, 1);
	t.true(harness.view.isCutOff('e1'));
	harness.instances.record('e1', false);
	harness.instances.record('e1', false);
	t.is(harness.changes, 2);
	t.false(harness.view.isCutOff('e1'));
	instances.record('e2', false);
	t.is(view.cutOffInstances.size, 0);
});

test('an instance that is not live is forgotten, but not before a new leader has heard of all', t => {
	const {instances, view, clock} = new Harness();
	instances.record('e1', true);
	instances.record('e2', true);
	instances.prune([]);
	t.is(view.cutOffInstances.size, 2);
	clock.advance(2000);
	instances.prune([node('e2')]);
	t.deepEqual([...view.cutOffInstances], ['e2']);
});

test('a new leader continues with the rows in the view', t => {
	const former = new Harness();
	former.instances.record('e1', true);
	let changes = 0;
	const next = new CutOffInstances({
		view: former.view, clock: former.clock, telemetry: new Telemetry(former.clock), onChange() {
			changes += 1;
		},
	});
	next.record('e1', true);
	t.is(changes, 0);
	next.record('e1', false);
	t.is(changes, 1);
	t.false(former.view.isCutOff('e1'));
});
