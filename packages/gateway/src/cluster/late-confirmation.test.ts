/**
 * After a freeze, another instance may lead. An answer of the store to a question from before the freeze says
 * nothing about that, so a leader that acts on it grants keys beside the present leader.
 */
import test from 'ava';
import {
	ManualClock, TargetPhase, type Service, type TargetInfo,
} from '@bluebellyard/core';
import {
	AppendFault, FakeTargetControl, HeldLog, MemoryFeed, type StoreCall,
} from '../mocks/index.js';
import type {PeerNet} from '../peers/index.js';
import type {OperatorEntry} from '../ports/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View, type NodeInfo} from '../view/index.js';
import {FeedReader} from './feed-reader.js';
import {Leader} from './leader.js';
import type {LeaderRecord} from './leader-record.js';
import {OwnerLog} from './owner-log.js';

/** Time in which each grant is renewed at least once, in milliseconds. */
const renewalMs = 3500;

const self: NodeInfo = {
	name: 'e0', incarnation: 'e0-1', domain: 'x', addr: 'e0:1', cores: 1,
};

const service: Service = {
	name: 's', isSharded: true, maxConnections: 10, coldRate: 1, healthPath: '/health',
};

function target(name: string): TargetInfo {
	return {
		id: `${name}@1`, name, service: 's', addr: name, domain: 'x', slots: 2, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
	};
}

function leaderRecord(term: number, name: string): LeaderRecord {
	return {
		era: 0, term, name, incarnation: `${name}-1`, formers: [], isRecovering: false,
	};
}

/** A leader of two targets, in the first term of its deployment. */
class Harness {
	readonly clock = new ManualClock(100_000);
	readonly control = new FakeTargetControl(this.clock);
	readonly log = new HeldLog();
	readonly view = new View();
	isSuperseded = false;
	private leader: Leader | undefined;

	async start(): Promise<void> {
		const {clock, control, view} = this;
		const ownerLog = new OwnerLog(this.log);
		const record = leaderRecord(1, self.name);
		const state = await ownerLog.read();
		await ownerLog.claimLead(record, state);
		view.store.set('service/s', service);
		for (const name of ['a', 'b']) {
			view.store.set(`target/${name}@1`, target(name));
		}

		const telemetry = new Telemetry(clock);
		const reader = new FeedReader({
			operators: new MemoryFeed<OperatorEntry>(), targets: new MemoryFeed<TargetInfo>(), view, clock, telemetry,
		});
		const net: Pick<PeerNet, 'exchange'> = {
			async exchange() {
				throw new Error('there is no other instance');
			},
		};
		this.leader = new Leader({
			self,
			record,
			view,
			net: net as PeerNet,
			ownerLog,
			reader,
			control,
			clock,
			telemetry,
			timing: {leaseMs: 6000, transitMs: 500},
			baseState: undefined,
			report: () => ({keys: {}, slowness: [], isLeaving: false}),
			isLeaving: () => false,
			onSuperseded: () => {
				this.isSuperseded = true;
				this.leader?.stop();
			},
		}, state);
		await this.run(2000);
	}

	/** Makes another instance leader in the store. */
	async replaceLeader(): Promise<void> {
		await this.log.append('keyed.bluebellyard-owners', 'leader', JSON.stringify(leaderRecord(2, 'e1')));
	}

	/** Ticks every 100 ms of the manual clock. */
	async run(ms: number): Promise<void> {
		for (let passed = 0; passed < ms; passed += 100) {
			this.leader?.tick();
			for (let i = 0; i < 5; i += 1) {
				// Calls to targets and to the store, some of them in turn, complete within the tick.
				// eslint-disable-next-line no-await-in-loop
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}

			this.clock.advance(100);
		}
	}

	/** Runs until an answer to a call of the given kind is withheld. */
	async runUntilHeld(call: StoreCall): Promise<void> {
		this.log.hold(call);
		for (let i = 0; i < 100 && this.log.heldCount === 0; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await this.run(100);
		}
	}

	/** Freezes the process; its monotonic clock stands still meanwhile. Grants are counted and all answers are withheld from the end of the freeze. */
	async freeze(): Promise<void> {
		this.log.hold('list', 'end', 'append');
		this.clock.stepWall(5000);
		this.control.requests.length = 0;
		await this.run(100);
	}

	/** Number of grants since the freeze. */
	get grantCount(): number {
		return this.control.requests.filter(request => request.startsWith('grant')).length;
	}

	/** Makes keys move, so that the leader writes the owners. */
	moveKeys(): void {
		this.view.store.set('target/a@1', {...target('a'), phase: TargetPhase.Draining});
	}
}

async function setUp(): Promise<Harness> {
	const harness = new Harness();
	await harness.start();
	return harness;
}

test('an answer to a question from before a freeze does not confirm the leader', async t => {
	const harness = await setUp();
	await harness.runUntilHeld('end');
	await harness.freeze();
	harness.log.releaseOne();
	await harness.run(renewalMs);
	t.is(harness.grantCount, 0);
	harness.log.releaseAll();
	await harness.run(renewalMs);
	t.true(harness.grantCount > 0);
});

test('an answer to a write from before a freeze does not confirm the leader', async t => {
	const harness = await setUp();
	harness.moveKeys();
	await harness.runUntilHeld('append');
	await harness.freeze();
	harness.log.releaseOne();
	await harness.run(renewalMs);
	t.is(harness.grantCount, 0);
	harness.log.releaseAll();
	await harness.run(renewalMs);
	t.true(harness.grantCount > 0);
});

test('an answer to a reading of the owners from before a freeze does not confirm the leader', async t => {
	const harness = await setUp();
	harness.log.faults.push(AppendFault.Refused);
	harness.moveKeys();
	await harness.runUntilHeld('list');
	await harness.freeze();
	harness.log.releaseOne();
	await harness.run(renewalMs);
	t.is(harness.grantCount, 0);
	harness.log.releaseAll();
	await harness.run(renewalMs);
	t.true(harness.grantCount > 0);
});

test('a leader that was replaced during a freeze grants nothing after it', async t => {
	const harness = await setUp();
	await harness.runUntilHeld('end');
	await harness.replaceLeader();
	await harness.freeze();
	harness.log.releaseOne();
	await harness.run(renewalMs);
	t.is(harness.grantCount, 0);
	harness.log.releaseAll();
	await harness.run(renewalMs);
	t.is(harness.grantCount, 0);
	t.true(harness.isSuperseded);
});
