/**
 * An instance that hears another leader while it reads the store, for its own term or since it heard none. What it reads
 * then must not change its view, which is that leader's by the time of the answer: no ping would correct the rows.
 */
import test, {type ExecutionContext} from 'ava';
import {ManualClock, type TargetInfo} from '@bluebellyard/core';
import {FakeTargetControl, HeldLog, MemoryFeed} from '../mocks/index.js';
import {noBytes, type PeerNet} from '../peers/index.js';
import type {OperatorEntry} from '../ports/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View, type NodeInfo} from '../view/index.js';
import {Coordinator} from './coordinator.js';
import {loadSuspects} from './load-suspects.js';
import {
	packDelta, PeerOp, type Ping, type Pong,
} from './messages.js';
import {SuspectLog} from './suspect-log.js';
import {ViewReplica} from './view-replica.js';

function node(name: string): NodeInfo {
	return {
		name, incarnation: `${name}-1`, domain: 'x', addr: `${name}:1`, cores: 1,
	};
}

async function settle(): Promise<void> {
	for (let i = 0; i < 20; i += 1) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

function createCoordinator(t: ExecutionContext, log: HeldLog, view: View): Coordinator {
	const clock = new ManualClock(100_000);
	const net: Pick<PeerNet, 'exchange'> = {
		async exchange() {
			throw new Error('no other instance is reached');
		},
	};
	const coordinator = new Coordinator({
		self: node('e0'), view, net: net as PeerNet, log, clock, telemetry: new Telemetry(clock),
		operators: new MemoryFeed<OperatorEntry>(), targets: new MemoryFeed<TargetInfo>(), control: new FakeTargetControl(clock),
		random: () => 0, timing: {leaseMs: 6000, transitMs: 500}, usesContactBound: true, heartbeatMs: 1000,
		report: () => ({keys: {}, slowness: [], isLeaving: false}),
	});
	t.teardown(() => {
		coordinator.stop();
	});
	return coordinator;
}

function createPing(): Ping {
	return {
		era: 0, term: 9, leader: node('e1'), storeAgeMs: 0, targetsAgeMs: 0, formerEndsMs: {}, base: undefined, seq: 5,
	};
}

test('the register that a superseded leader reads late does not change its view', async t => {
	const log = new HeldLog();
	await log.append('keyed.bluebellyard-nodes', 'e9', JSON.stringify(node('e9')));
	const view = new View();
	const coordinator = createCoordinator(t, log, view);
	log.hold('append');
	coordinator.handle(PeerOp.TakeOver, {value: undefined, bytes: noBytes});
	await settle();
	log.hold('list');
	log.releaseOne();
	await settle();
	t.true(coordinator.isLeader);
	t.true(log.heldCount > 0);
	const bytes = await packDelta({
		isFull: true, seq: 5, set: [['node/e0', node('e0')], ['node/e1', node('e1')]], gone: [],
	});
	const pong = coordinator.handle(PeerOp.Ping, {value: createPing(), bytes}) as Pong;
	t.deepEqual(pong.viewState, {leader: 'e1-1', term: 9, seq: 5});
	t.false(coordinator.isLeader);
	log.releaseAll();
	await settle();
	t.deepEqual(view.nodes().map(({name}) => name), ['e0', 'e1']);
});

// The view would reject a request that an operator has released until the process ends.
test('suspects that an instance reads late do not change the view of a leader that it has heard since', async t => {
	const log = new HeldLog();
	const suspects = new SuspectLog(log);
	const suspect = {
		service: 's', crashes: [], trials: 0, isQuarantined: true,
	};
	await suspects.write('p', suspect);
	const view = new View();
	const replica = new ViewReplica(view, new ManualClock());
	log.hold('list');
	const isLoaded = loadSuspects(suspects, undefined, view, () => replica.state !== undefined);
	await settle();
	replica.receive(createPing(), {
		isFull: true, seq: 5, set: [['node/e1', node('e1')]], gone: [],
	});
	log.releaseAll();
	await isLoaded;
	t.is(view.suspects.size, 0);
	const alone = new View();
	await loadSuspects(suspects, undefined, alone);
	t.is(alone.suspects.size, 1);
});
