/**
 * Routes a caller's request to a target: finds the dispatch queue, on this
 * instance or on the steward's, and decides whether a failed request is retried.
 */
import {
	ErrorKind, type BalancingMode, type Clock, type DomainCandidate, type StopSchedule,
} from '@bluebellyard/core';
import type {DispatchQueues} from '../queue/index.js';
import type {CancelSignal} from '../net/index.js';
import {
	isUnsent, LinkError, noBytes, type LinkState, type Message, type PeerNet,
} from '../peers/index.js';
import type {Telemetry} from '../telemetry/index.js';
import {
	sharedQueueId, targetQueueId, type NodeInfo, type OwnedRange, type View,
} from '../view/index.js';
import {ClosedRanges} from './closed-ranges.js';
import {combineResults} from './combine-results.js';
import type {CrashGuard} from './crash-guard.js';
import {DirectPermits} from './direct-permits.js';
import {
	failure, hasReturned, type Order, type OrderResult,
} from './order.js';
import {fingerprintOf} from './order-fingerprint.js';
import {OrderForwarder, type DirectPath} from './order-forwarder.js';
import {QueueRouter} from './queue-router.js';
import {RecentRefusals} from './recent-refusals.js';
import {maxAttempts, RetryDecider, type RetryDeciderOptions} from './retry-decider.js';
import {SelectorSwitch} from './selector-switch.js';
import {TrialRunner, type TrialRunnerOptions} from './trial-runner.js';
import {decodeOrder, type WireOrder, type WireWithdrawal} from './wire-order.js';
import {
	decodeEnd, encodeEndReply, encodeReply, type DirectPermit,
} from './wire-permit.js';

/** Delay before a request is retried at the same target, in milliseconds; multiplied by the number of attempts. */
const sameTargetDelayMs = 60;

/** Largest number of times that one attempt is passed on because an instance gave it back. */
const maxReturns = 3;

function describe(range: ({from: number} & OwnedRange) | undefined): string {
	return range === undefined ? 'no owners known' : `keys ${range.from}-${range.to}, owner ${range.owner || 'none'}, open ${range.isOpen}`;
}

/** Options of a dispatcher. */
export type DispatcherOptions = {
	readonly self: NodeInfo;
	readonly view: View;
	readonly queues: Pick<DispatchQueues, 'run' | 'estimateWorkMs' | 'load'> & Partial<Pick<DispatchQueues, 'releaseLate' | 'withdraw'>>;
	readonly net: Pick<PeerNet, 'exchange' | 'isUnreachable'>;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Returns a random number from 0 to 1. */
	readonly random: () => number;
	readonly guard: CrashGuard;
	/** The time that is left to the process; undefined if it is not limited. */
	readonly stop?: Pick<StopSchedule, 'canAnswer'>;
	/** How domains are selected for requests to services that are not sharded. */
	readonly balancing: BalancingMode;
	/** Returns whether queues reserve capacity for callers that they reject. */
	readonly isReserving: () => boolean;
	/** Returns whether another instance should run the orders of this one, since this one is cut off from the targets. */
	readonly isReleased: () => boolean;
	/** What it takes to send requests with large responses to targets of other stewards; undefined if all go through the steward. */
	readonly direct?: DirectPath;
} & Pick<TrialRunnerOptions, 'requestTrial' | 'reportEnd'> & Pick<RetryDeciderOptions, 'retryBudget'>;

/** Routes orders to dispatch queues. */
export class Dispatcher {
	private readonly selectors: SelectorSwitch;
	private readonly closedRanges = new ClosedRanges();
	private readonly refusals = new RecentRefusals();
	private readonly waiters = new Set<() => void>();
	private readonly retries: RetryDecider;
	private readonly trials: TrialRunner;
	private readonly router: QueueRouter;
	private readonly forwarder: OrderForwarder;
	private readonly permits: DirectPermits;

	constructor(private readonly options: DispatcherOptions) {
		options.view.onChange(() => {
			this.notifyWaiters();
		});
		this.selectors = new SelectorSwitch({view: options.view, telemetry: options.telemetry, mode: options.balancing});
		this.router = new QueueRouter(options);
		this.retries = new RetryDecider(options);
		this.forwarder = new OrderForwarder(options);
		this.permits = new DirectPermits(options);
		this.trials = new TrialRunner({...options, waitForChange: async (ms, signal) => this.waitForChange(ms, signal)});
	}

	/** Runs an order. `maxTargets` is the number of targets that it may be sent to. Never rejects. */
	async run(order: Order, maxTargets: number, signal: CancelSignal): Promise<OrderResult> {
		this.retries.recordRequest(order.service);
		const tried: string[] = [];
		let combined: OrderResult | undefined;
		for (let attempts = 1; attempts <= maxAttempts; attempts += 1) {
			// Whether and where to retry depends on the previous attempt.
			// eslint-disable-next-line no-await-in-loop
			const result = await this.attemptUnlessSuspect({...order, excluded: [...order.excluded, ...tried]}, signal);
			combined = combineResults(combined, result);
			const isKeyed = order.key !== undefined && this.isSharded(order.service);
			const decision = this.retries.decide(order, result, {
				attempts, tried, maxTargets, isKeyed, isAborted: signal.aborted,
			});
			if (!decision.isRetried) {
				return decision.reason === undefined ? combined : {...combined, noRetry: decision.reason};
			}

			if (isKeyed) {
				// eslint-disable-next-line no-await-in-loop
				await this.waitForChange(sameTargetDelayMs * attempts, signal);
				if (signal.aborted) {
					return combined;
				}
			}
		}

		return combined!;
	}

	/** Runs an order that another instance forwarded to a dispatch queue of this one, or permits that instance to send it. */
	async runForPeer({value, bytes}: Message, signal: CancelSignal, link?: LinkState): Promise<Message> {
		const wire = value as WireOrder;
		const {dx: token, desk: queueId} = wire;
		const isSteward = this.options.view.findSteward(queueId) === this.options.self.name;
		const order = decodeOrder(wire, bytes, {now: this.options.clock.now(), skipsRateLimited: !isSteward});
		const result = this.options.stop?.canAnswer(order) === false
			? failure(ErrorKind.NotSteward, {reason: 'the steward ends before the request can be answered'})
			: await this.permits.run({
				queueId, order, token: isSteward ? token : undefined, signal, link,
			});
		return encodeReply(isSteward ? this.withLoad(result, queueId, order) : result);
	}

	/** Ends orders that wait, here or at their steward, and can't be answered before the process ends. */
	rejectLate(): void {
		this.options.queues.releaseLate?.();
		this.forwarder.withdraw(order => this.options.stop?.canAnswer(order) === false);
	}

	/** Gives back an order of another instance that waits in a dispatch queue of this one. */
	withdrawForPeer({value}: Message): Message {
		const {desk, id} = value as WireWithdrawal;
		this.options.queues.withdraw?.(desk, id);
		return {value: true, bytes: noBytes};
	}

	/** Records the end of an order that another instance sent with a permit of this one. */
	async endForPeer(message: Message): Promise<Message> {
		const {token, result} = decodeEnd(message);
		return encodeEndReply(await this.permits.end(token, result));
	}

	/** Runs an order once; as a trial, if the leader permits it, when it is known or turns out that targets ended under the same request. */
	private async attemptUnlessSuspect(order: Order, signal: CancelSignal): Promise<OrderResult> {
		const {guard} = this.options;
		const known = guard.findSuspect(order);
		if (known === undefined) {
			const result = await this.attempt(order, signal);
			if (result.kind === 'answer' || result.error !== ErrorKind.CrashSuspect) {
				return result;
			}
		}

		const print = known ?? fingerprintOf(order);
		return await this.trials.run(order, {print, isTold: known === undefined, signal}, async trial => this.attempt(trial, signal)) ?? this.attempt(order, signal);
	}

	private async attempt(order: Order, signal: CancelSignal): Promise<OrderResult> {
		return this.isSharded(order.service) ? this.attemptKeyed(order, signal) : this.attemptShared(order, signal);
	}

	private isSharded(service: string): boolean {
		return this.options.view.allServices.get(service)?.isSharded ?? false;
	}

	private async attemptKeyed(order: Order, signal: CancelSignal): Promise<OrderResult> {
		const {view, clock} = this.options;
		const {key, service} = order;
		if (key === undefined) {
			return failure(ErrorKind.BadRequest, {reason: 'no key for a sharded service'});
		}

		for (;;) {
			const range = view.findRange(service, key);
			const target = range === undefined ? undefined : view.targets.get(range.owner);
			const rangeId = `${service}/${range?.from ?? 0}`;
			if (range?.isOpen === true && target !== undefined && view.isUsable(target)) {
				this.closedRanges.markOpen(rangeId);
				return this.send(targetQueueId(target.id), order, signal);
			}

			const now = clock.now();
			const maxWaitMs = Math.min(this.closedRanges.maxWaitMs(rangeId, now), order.deadline - now - order.objectiveMs);
			if (maxWaitMs <= 0 || signal.aborted) {
				return failure(ErrorKind.NoOwner, {
					retryAfterMs: this.closedRanges.retryAfterMs(), waitMs: now - order.arrivedAt, reason: describe(range),
				});
			}

			// eslint-disable-next-line no-await-in-loop
			await this.waitForChange(maxWaitMs, signal);
		}
	}

	private async attemptShared(order: Order, signal: CancelSignal): Promise<OrderResult> {
		const {
			self, clock, random, queues,
		} = this.options;
		const candidates = this.findCandidates(order);
		const tried = new Set<string>();
		for (;;) {
			const untried = candidates.filter(candidate => !tried.has(candidate.domain));
			const selector = this.selectors.current;
			const choice = selector.select(untried, {
				ownDomain: self.domain, objectiveMs: order.objectiveMs, now: clock.now(), random,
			});
			if (choice === undefined) {
				return failure(ErrorKind.NoTarget, {retryAfterMs: this.closedRanges.retryAfterMs(), reason: `no target of ${order.service} may receive work`});
			}

			this.selectors.recordChoice(choice);
			const selected = choice.candidate;
			const recordEnd = selector.recordSend(selected, queues.estimateWorkMs(order.route, order.objectiveMs));
			// eslint-disable-next-line no-await-in-loop
			const result = await this.send(selected.queueId, order, signal);
			const now = clock.now();
			recordEnd();
			if (result.kind === 'answer') {
				selector.recordAnswer(selected, result.waitMs, result.load, now);
				return result;
			}

			tried.add(selected.domain);
			const isRefused = result.target === undefined && result.isNotRun;
			if (isRefused) {
				selector.recordRefusal(selected, result.load, now);
			}

			// Only a refusal without a wait leaves enough time for another domain.
			if (!isRefused || tried.size >= candidates.length || signal.aborted || now - order.arrivedAt > order.objectiveMs / 2) {
				return result;
			}
		}
	}

	/** Returns the failure domains with targets that may receive an order to a service that is not sharded. */
	private findCandidates({service, excluded}: Order): DomainCandidate[] {
		const {view} = this.options;
		const counts = new Map<string, {targetCount: number; slots: number}>();
		for (const target of view.usableTargets(service)) {
			if (!excluded.includes(target.id)) {
				const {targetCount, slots} = counts.get(target.domain) ?? {targetCount: 0, slots: 0};
				counts.set(target.domain, {targetCount: targetCount + 1, slots: slots + target.slots});
			}
		}

		return [...counts].map(([domain, count]) => {
			const queueId = sharedQueueId(service, domain);
			return {
				...count, domain, queueId, steward: view.findSteward(queueId),
			};
		});
	}

	/** Adds the load of a dispatch queue of which this instance is the steward to a result, where it is used. */
	private withLoad<T extends OrderResult | DirectPermit>(result: T, queueId: string, {service}: Order): T {
		if (!this.selectors.isBalanced || this.isSharded(service)) {
			return result;
		}

		const load = this.options.queues.load(queueId);
		return load === undefined ? result : {...result, load};
	}

	/** Sends an order to the steward of a dispatch queue. An order that an instance gives back unsent goes to another one; this costs no retry budget. */
	private async send(queueId: string, order: Order, signal: CancelSignal): Promise<OrderResult> {
		for (let returns = 0; ; returns += 1) {
			if (this.options.stop?.canAnswer(order) === false) {
				return failure(ErrorKind.Stopping, {reason: 'the process ends before the request can be answered'});
			}

			const {node, isSteward} = this.router.select(queueId);
			// Where the order goes depends on whether it was given back.
			// eslint-disable-next-line no-await-in-loop
			const result = await (node === undefined
				? this.runHere(queueId, order, {isSteward, signal})
				: this.sendTo(node, queueId, order, signal));
			if (result.kind === 'answer' || result.error !== ErrorKind.NotSteward || returns >= maxReturns || signal.aborted) {
				return result;
			}

			this.router.recordReturn(queueId, (node ?? this.options.self).name);
		}
	}

	/** Runs an order in the dispatch queue of this instance. The steward adds the load of the queue where that is used. */
	private async runHere(queueId: string, order: Order, {isSteward, signal}: {isSteward: boolean; signal: CancelSignal}): Promise<OrderResult> {
		const result = await this.options.queues.run(queueId, {...order, skipsRateLimited: !isSteward}, signal);
		return isSteward ? this.withLoad(result, queueId, order) : result;
	}

	/** Forwards an order to another instance, or runs it here if that one can't be reached. */
	private async sendTo(node: NodeInfo, queueId: string, order: Order, signal: CancelSignal): Promise<OrderResult> {
		const {queues, telemetry, clock} = this.options;
		const now = clock.now();
		const left = {objectiveMs: order.objectiveAt - now, deadlineMs: order.deadline - now};
		// The steward may have reserved capacity for a caller that comes back.
		const retryAfterMs = this.options.isReserving() && hasReturned(order) ? undefined : this.refusals.retryAfterMs(queueId, order, left, now);
		if (retryAfterMs !== undefined) {
			return failure(ErrorKind.DeadlineTooClose, {retryAfterMs, reason: `${node.name} refused a similar request recently`});
		}

		try {
			const result = await this.forwarder.forward(order, {addr: node.addr, queueId, signal});
			if (result.kind === 'failure' && result.error === ErrorKind.DeadlineTooClose && result.isReserved !== true) {
				this.refusals.record(queueId, order, left, {now: clock.now(), retryAfterMs: result.retryAfterMs});
			}

			return result;
		} catch (err) {
			if (signal.aborted) {
				return failure(ErrorKind.CallerDisconnected, {isNotRun: false, reason: 'the caller left'});
			}

			// A request that must run once can't be tried again unless the steward certainly did not receive it.
			const isUnreceived = isUnsent(err) || (order.isOnce && err instanceof LinkError && !(await err.wasReceived()));
			telemetry.logRequest('Steward could not be reached.', {
				id: order.requestId, instance: node.name, desk: queueId, isUnsent: isUnsent(err), isUnreceived, err,
			});
			if (isUnreceived) {
				return queues.run(queueId, {...order, skipsRateLimited: true}, signal);
			}

			return failure(ErrorKind.ConnectionLost, {
				isNotRun: false, target: `unknown at ${node.name}`, reason: `link to ${node.name}: ${err instanceof Error ? err.message : String(err)}`,
			});
		}
	}

	/** Waits for a change of the view, the given time or an abort, whichever is first. */
	private async waitForChange(ms: number, signal: CancelSignal): Promise<void> {
		return new Promise(resolve => {
			const done = () => {
				clearTimeout(timer);
				this.waiters.delete(done);
				signal.removeEventListener('abort', done);
				resolve();
			};

			const timer = setTimeout(done, Math.max(1, ms));
			this.waiters.add(done);
			signal.addEventListener('abort', done, {once: true});
		});
	}

	private notifyWaiters(): void {
		for (const wake of this.waiters) {
			wake();
		}
	}
}
