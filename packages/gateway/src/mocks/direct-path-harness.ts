import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	AttemptOutcome, BalancingMode, ManualClock, Repeat, TargetPhase,
} from '@bluebellyard/core';
import {PeerOp} from '../cluster/index.js';
import {CrashGuard} from '../dispatch/crash-guard.js';
import {Dispatcher} from '../dispatch/dispatcher.js';
import type {Order, OrderResult} from '../dispatch/order.js';
import {Cancellation, type CancelSignal} from '../net/index.js';
import {LinkError, type CallOptions, type Message} from '../peers/index.js';
import type {TargetHeaders} from '../ports/index.js';
import {
	ConnectionFault, DispatchQueues, type TargetRequest, type TargetResult,
} from '../queue/index.js';
import {Telemetry} from '../telemetry/index.js';
import {sharedQueueId, View, type NodeInfo} from '../view/index.js';
import {usualOrder} from './usual-order.js';

const queueId = sharedQueueId('s', 'x');

const ignore = () => undefined;

async function fail(): Promise<never> {
	throw new Error('not expected');
}

/** What a target states about itself in an answer. */
export const meta: TargetHeaders = {
	requestId: 'r', isSealed: true, isNotRun: false, target: 't', load: undefined, coldLeftMs: undefined, limit: undefined, hasLimit: false, isLeaving: false, pauseMs: undefined,
};

/** Answer with a large body. */
export const answered: TargetResult = {
	outcome: AttemptOutcome.Answered, isNotRun: false, status: 200, headers: [['x', 'y']], body: Buffer.from('large'), meta, fault: ConnectionFault.None, reason: '',
};

/** A connection that broke after the request was sent. */
export const lost: TargetResult = {
	...answered, outcome: AttemptOutcome.Broken, status: 0, headers: [], body: Buffer.alloc(0), meta: undefined, fault: ConnectionFault.Lost, reason: 'reset',
};

/** A target that could not be reached. */
export const unreached: TargetResult = {
	...lost, outcome: AttemptOutcome.Unreachable, isNotRun: true, fault: ConnectionFault.TimedOut, reason: 'no connection',
};

/** A request that an instance has sent to a target. */
type Sent = {
	readonly by: string;
	readonly req: TargetRequest;
	readonly end: (result: TargetResult) => void;
};

/** Steward `e1` and receiving instance `e2` of a target with one slot and a route with large responses. */
export class DirectPathHarness {
	readonly view = new View();
	readonly clock = new ManualClock();
	readonly telemetry = new Telemetry(this.clock);
	readonly sent: Sent[] = [];
	readonly crashes: string[] = [];
	isRefused = false;
	/** Delay of answers of the steward, as seen by the clock of the test, in milliseconds. */
	replyAgeMs = 0;
	/** Whether reports are lost. */
	losesReports = false;
	/** Whether the answer to an order is lost on its way. */
	holdsReplies = false;
	readonly receiver: Dispatcher;
	readonly queues: DispatchQueues;
	private readonly downListeners = new Set<() => void>();

	constructor() {
		const {view, clock, telemetry} = this;
		for (const name of ['e1', 'e2']) {
			view.store.set(`node/${name}`, createNode(name));
		}

		view.store.set('service/s', {name: 's', isSharded: false, coldRate: 5});
		view.store.set('target/t', {
			id: 't', name: 't', service: 's', addr: 't:1', domain: 'x', slots: 1, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
		});
		view.store.set(`steward/${queueId}`, 'e1');
		for (const [name, hasLargeAnswers] of [['route', true], ['small', false]] as const) {
			view.store.set(`route/${name}`, {
				name, host: 'h', prefix: '/', repeat: Repeat.Idempotent, hasLargeAnswers, timeoutMs: 2000, objectiveMs: 500, priority: 1, maxTargets: 2, services: [{service: 's', weight: 1}],
			});
		}

		const guard = new CrashGuard(view, clock);
		const paths = {
			isReleased: false, isCutOff: false, watch: () => ({onStart: ignore, onResponse: ignore, end: ignore}), settle: async () => false,
		};
		this.queues = new DispatchQueues({
			selfName: 'e1',
			view,
			clock,
			telemetry,
			client: this.createClient('e1'),
			paths,
			hasLeaderContact: () => true,
			isReserving: () => false,
			onNotOwner: ignore,
			onLeaving: ignore,
			isRefused: async () => this.isRefused,
			onCrash: ({target}) => {
				this.crashes.push(target);
			},
			onAlive: ignore,
			guard,
		});
		const options = {
			view,
			clock,
			telemetry,
			guard,
			retryBudget: () => ({share: 0, perSecond: 0, burst: 0}),
			random: () => 0,
			balancing: BalancingMode.Auto,
			isReserving: () => false,
			isReleased: () => false,
			requestTrial: async () => undefined,
			reportEnd: ignore,
		};
		const steward = new Dispatcher({
			...options, self: createNode('e1'), queues: this.queues, net: {exchange: fail, isUnreachable: () => false},
		});
		this.receiver = new Dispatcher({
			...options,
			self: createNode('e2'),
			queues: {run: fail, estimateWorkMs: () => 50, load: () => undefined},
			net: {exchange: async (_addr, op, message, callOptions) => this.exchange(steward, {op, message}, callOptions), isUnreachable: () => false},
			direct: {
				client: this.createClient('e2'), paths, estimateWorkMs: () => 50, domain: 'x', tokenPrefix: 'e2',
			},
		});
	}

	/** Instances that have sent requests to the target, in order. */
	get senders(): string[] {
		return this.sent.map(({by}) => by);
	}

	/** Begins to run an order at the receiving instance. Resolves when it has got to the target if it can. */
	async start(changes: Partial<Order> = {}, signal: CancelSignal = new Cancellation()): Promise<{readonly result: Promise<OrderResult>}> {
		const now = this.clock.now();
		const result = this.receiver.run({
			...usualOrder, isOnce: false, arrivedAt: now, objectiveAt: now + 500, deadline: now + 2000, ...changes,
		}, 2, signal);
		await sleep(5);
		return {result};
	}

	loseLink(): void {
		for (const listener of this.downListeners) {
			listener();
		}
	}

	private createClient(by: string) {
		return {
			send: async (req: TargetRequest) => new Promise<TargetResult>(resolve => {
				req.signal.addEventListener('abort', () => {
					resolve({...lost, outcome: AttemptOutcome.Cancelled, fault: ConnectionFault.None});
				});
				this.sent.push({by, req, end: resolve});
			}),
		};
	}

	private async exchange(steward: Dispatcher, {op, message}: {op: string; message: Message}, {signal}: CallOptions = {}): Promise<Message> {
		if (op === String(PeerOp.RequestEnd)) {
			if (this.losesReports) {
				throw new LinkError('lost', true);
			}

			return steward.endForPeer(message);
		}

		const reply = await steward.runForPeer(message, signal ?? new AbortController().signal, {
			whenDown: listener => {
				this.downListeners.add(listener);
				return () => {
					this.downListeners.delete(listener);
				};
			},
		});
		this.clock.advance(this.replyAgeMs);
		this.replyAgeMs = 0;
		if (this.holdsReplies) {
			await new Promise((_resolve, reject) => {
				signal?.addEventListener('abort', () => {
					reject(new LinkError('call cancelled', true));
				});
			});
		}

		return reply;
	}
}

function createNode(name: string): NodeInfo {
	return {
		name, domain: 'x', incarnation: name, addr: `${name}:1`, cores: 1,
	};
}
