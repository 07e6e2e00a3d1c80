import {
	WorkEstimator, type Clock, type ConditionReport, type QueueLoad, type ReportedCrash, type StopSchedule,
} from '@bluebellyard/core';
import type {CrashGuard} from '../dispatch/crash-guard.js';
import type {Order, OrderResult} from '../dispatch/order.js';
import type {CancelSignal} from '../net/index.js';
import type {TargetHeaders, TargetRef} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import {
	isTargetQueue, leavingPart, limitPart, sharedQueueId, targetQueueId, type View,
} from '../view/index.js';
import {ConditionTracker} from './condition-tracker.js';
import {CrashDetector} from './crash-detector.js';
import {DispatchQueue, type QueueSnapshot, type QueueTarget} from './dispatch-queue.js';
import type {PathChecker} from './path-checker.js';
import type {TargetClient} from './target-client.js';

/** Options of the dispatch queues. */
export type DispatchQueuesOptions = {
	/** Name of this instance. */
	readonly selfName: string;
	readonly view: View;
	readonly client: Pick<TargetClient, 'send'>;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Returns whether the leader was heard recently enough that this instance would know of a new steward. */
	readonly hasLeaderContact: () => boolean;
	/** Returns whether queues of targets reserve capacity for callers that they reject. */
	readonly isReserving: () => boolean;
	readonly onNotOwner: (target: string, order: Order) => void;
	/** Called when a target announces to this instance that it leaves. */
	readonly onLeaving: (target: string) => void;
	/** Resolves to whether an address refuses connections. */
	readonly isRefused: (addr: string) => Promise<boolean>;
	/** Called when a target ended while requests of this instance ran there. */
	readonly onCrash: (report: ReportedCrash) => void;
	/** Called when a target answers that was reported before. */
	readonly onAlive: (target: string) => void;
	readonly guard: CrashGuard;
	/** The time that is left to the process; undefined if it is not limited. */
	readonly stop?: Pick<StopSchedule, 'canAnswer'>;
	readonly paths: Pick<PathChecker, 'watch' | 'isReleased' | 'settle'>;
};

/** The dispatch queues of this instance. A queue is created when its first order arrives. */
export class DispatchQueues {
	private readonly queues = new Map<string, DispatchQueue>();
	private readonly estimator = new WorkEstimator();
	private readonly tracker: ConditionTracker;
	private readonly crashes: CrashDetector;
	/** Queues of which this instance is the steward. */
	private readonly stewarded = new Set<string>();
	/** Versions of the parts of the view that the queues were last updated from. */
	private viewVersion = '';

	constructor(private readonly options: DispatchQueuesOptions) {
		this.tracker = new ConditionTracker(options);
		this.crashes = new CrashDetector({...options, isCutOff: async () => options.paths.settle()});
		options.view.onChange(() => {
			this.updateFromView();
		});
	}

	/** Number of requests waiting in all dispatch queues. */
	get queued(): number {
		return this.sum(queue => queue.queued);
	}

	/** Number of requests running at targets. */
	get inFlight(): number {
		return this.sum(queue => queue.inFlight);
	}

	/** Returns the expected run time of a request on a target of normal speed, in milliseconds. */
	estimateWorkMs(route: string, objectiveMs: number): number {
		return this.estimator.estimate(route, objectiveMs);
	}

	/** Returns the state of a queue as a new request of a priority would find it; undefined if this instance has no such queue. */
	snapshot(id: string, priority: number): QueueSnapshot | undefined {
		return this.queues.get(id)?.snapshot(priority);
	}

	/** Returns the long-term slowness of the targets of all queues that have a steward, by target id. */
	targetSlowness(): Array<readonly [string, number]> {
		const stewarded = [...this.queues].filter(([id]) => this.options.view.findSteward(id) !== undefined);
		return stewarded.flatMap(([, queue]) => queue.targetSlowness());
	}

	/** Returns what targets said about themselves in recent answers to this instance. */
	reportConditions(): ConditionReport[] {
		return this.tracker.conditions.report(this.options.clock.now());
	}

	/** Records what a target said in its answer to a grant or release. */
	recordControlAnswer({addr, name}: TargetRef, headers: TargetHeaders): void {
		for (const target of this.options.view.targets.values()) {
			if (target.name === name && target.addr === addr) {
				this.tracker.recordControlAnswer(target.id, headers);
			}
		}
	}

	/** Runs an order through a dispatch queue. Never rejects. */
	async run(id: string, order: Order, signal: CancelSignal): Promise<OrderResult> {
		return this.getQueue(id).run(order, signal);
	}

	/** Returns the load of a dispatch queue; undefined if this instance has none with the id. */
	load(id: string): QueueLoad | undefined {
		return this.queues.get(id)?.load();
	}

	/** Gives back the orders that wait, if another instance should run them. */
	releaseIfCutOff(): void {
		if (this.options.paths.isReleased) {
			for (const queue of this.queues.values()) {
				queue.release();
			}
		}
	}

	/** Gives back the orders that wait and can't be answered before the process ends. */
	releaseLate(): void {
		for (const queue of this.queues.values()) {
			queue.release(order => this.options.stop?.canAnswer(order) === false);
		}
	}

	/** Gives back an order of another instance if it waits; one that was sent to a target goes on. */
	withdraw(id: string, requestId: string): void {
		this.queues.get(id)?.release(order => order.requestId === requestId);
	}

	private getQueue(id: string): DispatchQueue {
		const known = this.queues.get(id);
		if (known !== undefined) {
			return known;
		}

		const isSteward = () => this.options.view.findSteward(id) === this.options.selfName;
		const queue = new DispatchQueue({
			...this.options,
			estimator: this.estimator,
			tracker: this.tracker,
			crashes: this.crashes,
			isSteward,
			// A caller that comes back to a shared service may reach the queue of another domain.
			isReserving: () => isTargetQueue(id) && isSteward() && this.options.isReserving(),
		});
		this.queues.set(id, queue);
		this.releaseIfMoved(id, queue);
		queue.setTargets(this.targetsByQueue().get(id) ?? []);
		return queue;
	}

	private updateFromView(): void {
		const {store, announcedLeaving, direct} = this.options.view;
		const viewVersion = [...['target', 'service', 'evacuated', 'steward', limitPart, leavingPart].map(part => store.lastSeqOfPart(part)), announcedLeaving.size, direct.revision].join('/');
		if (viewVersion === this.viewVersion) {
			return;
		}

		this.viewVersion = viewVersion;
		this.tracker.applyReported();
		this.crashes.applyView();
		const targets = this.targetsByQueue();
		for (const [id, queue] of this.queues) {
			const own = targets.get(id);
			this.releaseIfMoved(id, queue);
			queue.setTargets(own ?? []);
			if (own === undefined && queue.queued === 0 && queue.inFlight === 0) {
				this.queues.delete(id);
				this.stewarded.delete(id);
			}
		}
	}

	/** Gives back the orders that wait in a queue that has passed to another steward. */
	private releaseIfMoved(id: string, queue: DispatchQueue): void {
		const {view, selfName} = this.options;
		const steward = view.findSteward(id);
		if (steward === selfName) {
			this.stewarded.add(id);
		} else if (this.stewarded.delete(id) && steward !== undefined) {
			queue.release();
		}
	}

	private targetsByQueue(): Map<string, QueueTarget[]> {
		const {view} = this.options;
		const byQueue = new Map<string, QueueTarget[]>();
		for (const target of view.targets.values()) {
			const service = view.allServices.get(target.service);
			if (service === undefined || !view.isUsable(target)) {
				continue;
			}

			const id = service.isSharded ? targetQueueId(target.id) : sharedQueueId(target.service, target.domain);
			const list = byQueue.get(id) ?? [];
			list.push({...target, coldRate: service.coldRate});
			byQueue.set(id, list);
		}

		return byQueue;
	}

	private sum(count: (queue: DispatchQueue) => number): number {
		let sum = 0;
		for (const queue of this.queues.values()) {
			sum += count(queue);
		}

		return sum;
	}
}
