import test from 'ava';
import {
	BalancingMode, ErrorKind, ManualClock, TargetPhase,
} from '@bluebellyard/core';
import {usualOrder} from '../mocks/index.js';
import {Telemetry} from '../telemetry/index.js';
import {sharedQueueId, View, type NodeInfo} from '../view/index.js';
import {CrashGuard} from './crash-guard.js';
import {Dispatcher} from './dispatcher.js';
import {failure} from './order.js';
import {encodeResult} from './wire-result.js';

const signal = AbortSignal.timeout(10_000);

function node(name: string): NodeInfo {
	return {
		name, domain: 'x', incarnation: name, addr: `${name}:1`, cores: 1,
	};
}

/** Runs an order and one that comes back at an instance whose steward rejects all. Returns how many the steward received. */
async function countForwarded({isReserving, isReserved}: {isReserving: boolean; isReserved?: boolean}, secondObjectiveAt: number): Promise<number> {
	const view = new View();
	for (const name of ['e1', 'e2']) {
		view.store.set(`node/${name}`, node(name));
	}

	view.store.set('target/t', {
		id: 't', name: 't', service: 's', addr: 't:1', domain: 'x', slots: 2, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
	});
	view.store.set(`steward/${sharedQueueId('s', 'x')}`, 'e2');
	const clock = new ManualClock();
	let forwarded = 0;
	const dispatcher = new Dispatcher({
		self: node('e1'),
		view,
		queues: {run: async () => failure(ErrorKind.NoTarget, {}), estimateWorkMs: () => 100, load: () => undefined},
		net: {
			async exchange() {
				forwarded += 1;
				return encodeResult(failure(ErrorKind.DeadlineTooClose, {retryAfterMs: 300, ...(isReserved !== undefined && {isReserved})}));
			},
			isUnreachable: () => false,
		},
		clock,
		telemetry: new Telemetry(clock),
		retryBudget: () => ({share: 0, perSecond: 0, burst: 0}),
		random: () => 0,
		guard: new CrashGuard(view, clock),
		balancing: BalancingMode.Auto,
		isReserving: () => isReserving,
		isReleased: () => false,
		requestTrial: async () => undefined,
		reportEnd() {
			// No order is suspected.
		},
	});
	await dispatcher.run(usualOrder, 1, signal);
	await dispatcher.run({...usualOrder, requestId: 'second', objectiveAt: secondObjectiveAt}, 1, signal);
	return forwarded;
}

// An instance that remembers a rejection of the steward's queue would reject the caller for which the queue keeps capacity.
test('a caller that comes back is forwarded in spite of recent rejections, where queues make reservations', async t => {
	t.is(await countForwarded({isReserving: true, isReserved: false}, 100), 2);
	t.is(await countForwarded({isReserving: false}, 100), 1);
});

// Callers would get no reservation although there is capacity for more.
test('a rejection with a reservation does not apply to later requests, one without does', async t => {
	t.is(await countForwarded({isReserving: true, isReserved: true}, 500), 2);
	t.is(await countForwarded({isReserving: true, isReserved: false}, 500), 1);
});
