/** Guards against work for a target that left, or for an evacuated domain, at an instance that reaches the store, since its leader or the way to it is disturbed. */
import test from 'ava';
import {TargetPhase, type TargetInfo} from '@bluebellyard/core';
import {configureLogging, LogFormat} from '@bluebellyard/router/logging';
import {disturbances, playDisturbance} from '../mocks/cluster-disturbances.js';
import type {ClusterInstance} from '../mocks/coordinator-cluster.js';

configureLogging({
	format: LogFormat.Json,
	write() {
		// Thousands of lines about instances that do not answer.
	},
});

/** Time from the acknowledgement by the store by which no work is sent to a target that leaves, in milliseconds: the bound of small deployments. */
const maxDelayMs = 2000;

const names = ['draining', 'gone', 'evacuated', 't3', 't4', 't5', 't6', 't7'];

function target(name: string): TargetInfo {
	return {
		id: `${name}@1`, name, service: 's', addr: name, domain: name === 'evacuated' ? 'y' : 'x', slots: 2, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0, recordSeq: 1,
	};
}

function usableCount({view}: ClusterInstance): number {
	return [...view.targets.values()].filter(info => view.isUsable(info)).length;
}

for (const disturbance of disturbances) {
	test.serial(`targets that leave get no work in time although ${disturbance.title}`, async t => {
		const delays = await playDisturbance(t, disturbance, async (cluster, observed) => {
			const {targets, operators} = cluster;
			return cluster.measureChange(() => {
				targets.put('draining', {...target('draining'), phase: TargetPhase.Draining, recordSeq: 2});
				targets.put('gone', undefined);
				operators.put('evacuate/y', {kind: 'evacuation', domain: 'y'});
			}, () => observed.every(instance => usableCount(instance) === names.length - 3));
		}, names.map(name => target(name)));
		t.true(Math.max(...delays) < maxDelayMs);
	});
}
