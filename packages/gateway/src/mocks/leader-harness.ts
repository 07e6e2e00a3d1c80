import {
	ManualClock, TargetPhase, type Service, type TargetInfo,
} from '@bluebellyard/core';
import {
	Directory, FeedReader, Leader, OwnerLog, SuspectLog, type LeaderRecord,
} from '../cluster/index.js';
import type {PeerNet} from '../peers/index.js';
import type {OperatorEntry} from '../ports/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View, type NodeInfo} from '../view/index.js';
import {FakeTargetControl} from './fake-target-control.js';
import {HeldLog, type StoreCall} from './held-log.js';
import {MemoryFeed} from './memory-feed.js';

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

function createLeaderRecord(term: number, name: string): LeaderRecord {
	return {
		era: 0, term, name, incarnation: `${name}-1`, formers: [], isRecovering: false,
	};
}

/** A leader of two targets, in the first term of its deployment. */
export class LeaderHarness {
	readonly clock = new ManualClock(100_000);
	readonly control = new FakeTargetControl(this.clock);
	readonly log = new HeldLog();
	readonly view = new View();
	isSuperseded = false;
	leader: Leader | undefined;

	async start(): Promise<void> {
		const {clock, control, view} = this;
		const ownerLog = new OwnerLog(this.log);
		const record = createLeaderRecord(1, self.name);
		const state = await ownerLog.read();
		await ownerLog.claimLead(record, state);
		view.store.set('service/s', service);
		for (const name of ['a', 'b']) {
			view.store.set(`target/${name}@1`, target(name));
		}

		const telemetry = new Telemetry(clock);
		const reader = new FeedReader({
			operators: new MemoryFeed<OperatorEntry>(), targets: new MemoryFeed<TargetInfo>(), view, clock, telemetry, heartbeatMs: 1000,
		});
		const net: Pick<PeerNet, 'exchange'> = {
			async exchange() {
				throw new Error('there is no other instance');
			},
		};
		this.leader = new Leader({
			self,
			record,
			knownEnds: new Map(),
			usesContactBound: true,
			claimedAt: clock.now(),
			view,
			net: net as PeerNet,
			ownerLog,
			suspectLog: new SuspectLog(this.log),
			directory: new Directory(this.log),
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
		await this.log.append('keyed.bluebellyard-owners', 'leader', JSON.stringify(createLeaderRecord(2, 'e1')));
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

	/** Makes the keys of a target move, so that the leader writes the owners. */
	moveKeys(name = 'a'): void {
		this.view.store.set(`target/${name}@1`, {...target(name), phase: TargetPhase.Draining});
	}
}
