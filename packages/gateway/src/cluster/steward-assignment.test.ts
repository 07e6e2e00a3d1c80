import test from 'ava';
import {TargetPhase} from '@bluebellyard/core';
import {
	sharedQueueId, View, type NodeInfo,
} from '../view/index.js';
import {Measurements} from './measurements.js';
import {StewardAssignment} from './steward-assignment.js';

function node(name: string): NodeInfo {
	return {
		name, domain: 'x', incarnation: name, addr: '10.0.0.1:1', cores: 0.2,
	};
}

/** Assigns the queues of the given number of services to two instances, and returns how many each gets. */
function assign(delays: Readonly<Record<string, number | undefined>>, services: number): number[] {
	const view = new View();
	for (let i = 0; i < services; i += 1) {
		view.store.set(`target/t${i}`, {
			id: `t${i}`, name: `t${i}`, service: `s${i}`, addr: '10.0.0.2:1', domain: 'x', slots: 1, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
		});
	}

	view.notifyListeners();
	const measurements = new Measurements(new Map(), [], 0);
	for (const [name, delayMs] of Object.entries(delays)) {
		measurements.apply(name, {
			keys: {}, slowness: [], ...(delayMs !== undefined && {delayMs}), isLeaving: false,
		}, 0);
	}

	const assignment = new StewardAssignment({
		view, reader: {remainingColdMs: () => 0}, liveNodes: () => Object.keys(delays).map(name => node(name)), delayMs: name => measurements.delayMs(name),
	});
	assignment.update(0);
	const stewards = Array.from({length: services}, (_, i) => view.findSteward(sharedQueueId(`s${i}`, 'x')));
	return Object.keys(delays).map(name => stewards.filter(steward => steward === name).length);
}

// Requests that other instances forward to a steward are not rejected by its admission check.
test('instances with little delay get new stewardships first', t => {
	t.deepEqual(assign({busy: 200, idle: 0}, 4), [0, 4]);
	t.deepEqual(assign({busy: 50, idle: 0}, 9), [3, 6]);
});

test('an instance that does not report its delay gets its share', t => {
	t.deepEqual(assign({earlier: undefined, idle: 0}, 4), [2, 2]);
});
