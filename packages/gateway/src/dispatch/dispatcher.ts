/**
 * Brings a caller's request to a target: finds the desk in charge, here or on
 * another instance, and decides whether a request that failed is sent again.
 */
import {
	ErrorKind, RetryBudget, type Clock, type RetryBudgetCfg,
} from '@bluebellyard/core';
import type {DispatchQueues} from '../queue/index.js';
import {PeerOp} from '../cluster/index.js';
import {
	isUnsent, noBytes, type Message, type PeerNet,
} from '../peers/index.js';
import type {Telemetry} from '../telemetry/index.js';
import {
	sharedQueueId, targetQueueId, type NodeInfo, type OwnedRange, type View,
} from '../view/index.js';
import {ClosedRanges} from './closed-ranges.js';
import {DomainSelector, type DomainCandidate} from './domain-selector.js';
import {
	failure, type AnsweredResult, type FailedResult, type Order, type OrderResult,
} from './order.js';
import {RecentRefusals} from './recent-refusals.js';

/** Times that one request may be offered to desks, for whatever reason. */
const maxOffers = 5;

/** Wait before a request goes to the same target again, in milliseconds. */
const sameTargetWaitMs = 60;

/** Longest time that a desk elsewhere may take beyond the deadline, in milliseconds. */
const hopSlackMs = 120;

/** Failures after which another try may help. */
const retryable = new Set([
	ErrorKind.TargetShed, ErrorKind.TargetFenced, ErrorKind.ConnectFailed, ErrorKind.ConnectionLost, ErrorKind.NoTarget, ErrorKind.StewardUnreachable,
]);

function describe(range: ({from: number} & OwnedRange) | undefined): string {
	return range === undefined ? 'no owners known' : `keys ${range.from}-${range.to}, owner ${range.owner || 'none'}, open ${range.isOpen}`;
}

/** An order as it travels to another instance, beside its body; times are durations, for clocks differ. */
type WireOrder = {
	readonly desk: string;
	readonly id: string;
	readonly m: string;
	readonly p: string;
	readonly h: ReadonlyArray<readonly [string, string]>;
	readonly rt: string;
	readonly s: string;
	readonly k: number | undefined;
	readonly pr: number;
	readonly once: boolean;
	readonly obj: number;
	readonly age: number;
	readonly late: number;
	readonly left: number;
	readonly x: readonly string[];
};

/** Settings of a dispatcher. */
export type DispatcherOptions = {
	readonly self: NodeInfo;
	readonly view: View;
	readonly queues: Pick<DispatchQueues, 'run' | 'expectedWork'>;
	readonly net: Pick<PeerNet, 'exchange' | 'isUnreachable'>;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Budget for requests that are sent again, by the number of instances that share it. */
	readonly retryBudget: (instances: number) => RetryBudgetCfg;
	/** A number from 0 to 1. */
	readonly random: () => number;
};

/** Routes orders to desks. */
export class Dispatcher {
	private readonly waits = new DomainSelector();
	private readonly closed = new ClosedRanges();
	private readonly refusals = new RecentRefusals();
	private readonly budgets = new Map<string, RetryBudget>();
	private readonly parked = new Set<() => void>();

	constructor(private readonly options: DispatcherOptions) {
		options.view.onChange(() => {
			this.wakeParked();
		});
	}

	/** Runs an order; `maxTargets` is the number of targets that it may be sent to. Never rejects. */
	async run(order: Order, maxTargets: number, signal: AbortSignal): Promise<OrderResult> {
		this.budget(order.service).deposit(this.options.clock.now());
		const tried: string[] = [];
		let last: OrderResult | undefined;
		for (let offers = 1; offers <= maxOffers; offers += 1) {
			// Each try follows from the one before.
			// eslint-disable-next-line no-await-in-loop
			const result = await this.offer({...order, excluded: [...order.excluded, ...tried]}, signal);
			// A target's own failure is the answer, unless a later try brings a better one.
			last = result.kind === 'failure' && last?.kind === 'answer' ? last : result;
			// eslint-disable-next-line no-await-in-loop
			if (!await this.mayRepeat(order, result, {offers, tried, maxTargets}, signal)) {
				return last;
			}
		}

		return last!;
	}

	/** Runs an order of another instance at a desk here. */
	async runForPeer({value, bytes}: Message, signal: AbortSignal): Promise<Message> {
		const wire = value as WireOrder;
		const now = this.options.clock.now();
		const order: Order = {
			requestId: wire.id,
			method: wire.m,
			path: wire.p,
			headers: wire.h,
			body: bytes,
			route: wire.rt,
			service: wire.s,
			key: wire.k,
			priority: wire.pr,
			isOnce: wire.once,
			objectiveMs: wire.obj,
			arrivedAt: now - wire.age,
			objectiveAt: now + wire.late,
			deadline: now + wire.left,
			excluded: wire.x,
			isWarmOnly: this.options.view.findSteward(wire.desk) !== this.options.self.name,
		};
		const result = await this.options.queues.run(wire.desk, order, signal);
		return result.kind === 'answer'
			? {value: {...result, answer: {...result.answer, body: noBytes}}, bytes: result.answer.body}
			: {value: result, bytes: noBytes};
	}

	private async mayRepeat(
		order: Order,
		result: OrderResult,
		{offers, tried, maxTargets}: {offers: number; tried: string[]; maxTargets: number},
		signal: AbortSignal,
	): Promise<boolean> {
		const {clock, telemetry} = this.options;
		const isKeyed = order.key !== undefined && this.isSharded(order.service);
		const isGood = result.kind === 'answer' && result.answer.status < 500;
		const isFinal = result.kind === 'failure' && (!retryable.has(result.error) || (order.isOnce && !result.isNotRun));
		if (isGood || isFinal || signal.aborted || offers >= maxOffers || (result.kind === 'answer' && order.isOnce)) {
			return false;
		}

		const now = clock.now();
		const work = this.options.queues.expectedWork(order.route, order.objectiveMs);
		if (order.deadline - now < work) {
			return false;
		}

		const {target} = result;
		if (target !== undefined) {
			if (!isKeyed && !tried.includes(target)) {
				tried.push(target);
			}

			if (tried.length >= maxTargets || !this.budget(order.service).tryWithdraw(now)) {
				return false;
			}
		}

		const reason = result.kind === 'failure' ? result.error : `status-${result.answer.status}`;
		telemetry.metrics.retries.inc({reason});
		telemetry.logRequest('Trying again.', {
			id: order.requestId, reason, target, offers, leftMs: Math.round(order.deadline - now),
		});
		if (isKeyed) {
			await this.park(sameTargetWaitMs * offers, signal);
		}

		return !signal.aborted;
	}

	private async offer(order: Order, signal: AbortSignal): Promise<OrderResult> {
		return this.isSharded(order.service) ? this.offerKeyed(order, signal) : this.offerShared(order, signal);
	}

	private isSharded(service: string): boolean {
		return this.options.view.allServices.get(service)?.isSharded ?? false;
	}

	private async offerKeyed(order: Order, signal: AbortSignal): Promise<OrderResult> {
		const {view, clock} = this.options;
		const {key, service} = order;
		if (key === undefined) {
			return failure(ErrorKind.BadRequest, {reason: 'no key for a sharded service'});
		}

		for (;;) {
			const range = view.findRange(service, key);
			const target = range === undefined ? undefined : view.targets.get(range.owner);
			const name = `${service}/${range?.from ?? 0}`;
			if (range?.isOpen === true && target !== undefined && view.isUsable(target)) {
				this.closed.markOpen(name);
				return this.send(targetQueueId(target.id), order, signal);
			}

			const now = clock.now();
			const patience = Math.min(this.closed.maxWaitMs(name, now), order.deadline - now - order.objectiveMs);
			if (patience <= 0 || signal.aborted) {
				return failure(ErrorKind.NoOwner, {
					retryAfterMs: this.closed.retryAfterMs(), waitMs: now - order.arrivedAt, reason: describe(range),
				});
			}

			// eslint-disable-next-line no-await-in-loop
			await this.park(patience, signal);
		}
	}

	private async offerShared(order: Order, signal: AbortSignal): Promise<OrderResult> {
		const {view, self, clock, random} = this.options;
		const counts = new Map<string, number>();
		for (const target of view.usableTargets(order.service)) {
			if (!order.excluded.includes(target.id)) {
				counts.set(target.domain, (counts.get(target.domain) ?? 0) + 1);
			}
		}

		const choices: DomainCandidate[] = [...counts].map(([domain, targets]) => ({domain, targets, desk: sharedQueueId(order.service, domain)}));
		const tried = new Set<string>();
		for (;;) {
			const open = choices.filter(choice => !tried.has(choice.domain));
			const choice = this.waits.select(open, {
				own: self.domain, objectiveMs: order.objectiveMs, now: clock.now(), random: random(),
			});
			if (choice === undefined) {
				return failure(ErrorKind.NoTarget, {retryAfterMs: this.closed.retryAfterMs(), reason: `no target of ${order.service} may receive work`});
			}

			// eslint-disable-next-line no-await-in-loop
			const result = await this.send(choice.desk, order, signal);
			const now = clock.now();
			if (result.kind === 'answer') {
				this.waits.recordWait(choice.desk, result.waitMs, now);
				return result;
			}

			tried.add(choice.domain);
			const isRefused = result.target === undefined && result.isNotRun;
			if (isRefused) {
				this.waits.recordRefusal(choice.desk, now);
			}

			// Only a refusal without a wait leaves time for another domain.
			if (!isRefused || tried.size >= choices.length || signal.aborted || now - order.arrivedAt > order.objectiveMs / 2) {
				return result;
			}
		}
	}

	/** Sends an order to the instance in charge of a desk. */
	private async send(desk: string, order: Order, signal: AbortSignal): Promise<OrderResult> {
		const {
			view, self, net, queues: desks, telemetry, clock,
		} = this.options;
		const name = view.findSteward(desk);
		const node = name === undefined ? undefined : view.store.get<NodeInfo>(`node/${name}`);
		if (node === undefined || node.name === self.name || net.isUnreachable(node.addr)) {
			return desks.run(desk, {...order, isWarmOnly: node?.name !== self.name}, signal);
		}

		const now = clock.now();
		const left = {objectiveMs: order.objectiveAt - now, deadlineMs: order.deadline - now};
		const retryAfterMs = this.refusals.retryAfterMs(desk, order.route, left, now);
		if (retryAfterMs !== undefined) {
			return failure(ErrorKind.DeadlineTooClose, {retryAfterMs, reason: `${node.name} refused the like a moment ago`});
		}

		try {
			const result = await this.hop(node.addr, desk, order, signal);
			if (result.kind === 'failure' && result.error === ErrorKind.DeadlineTooClose) {
				this.refusals.record(desk, order.route, left, {now: clock.now(), retryAfterMs: result.retryAfterMs});
			}

			return result;
		} catch (err) {
			if (signal.aborted) {
				return failure(ErrorKind.CallerGone, {isNotRun: false, reason: 'the caller left'});
			}

			telemetry.logRequest('The instance in charge could not be reached.', {
				id: order.requestId, instance: node.name, desk, isUnsent: isUnsent(err), err,
			});
			if (isUnsent(err)) {
				return desks.run(desk, {...order, isWarmOnly: true}, signal);
			}

			return failure(ErrorKind.ConnectionLost, {
				isNotRun: false, target: `unknown at ${node.name}`, reason: `link to ${node.name}: ${err instanceof Error ? err.message : String(err)}`,
			});
		}
	}

	private async hop(addr: string, desk: string, order: Order, signal: AbortSignal): Promise<OrderResult> {
		const now = this.options.clock.now();
		const wire: WireOrder = {
			desk,
			id: order.requestId,
			m: order.method,
			p: order.path,
			h: order.headers,
			rt: order.route,
			s: order.service,
			k: order.key,
			pr: order.priority,
			once: order.isOnce,
			obj: order.objectiveMs,
			age: Math.round(now - order.arrivedAt),
			late: Math.round(order.objectiveAt - now),
			left: Math.round(order.deadline - now),
			x: order.excluded,
		};
		const timeoutMs = Math.max(1, Math.ceil(order.deadline - now + hopSlackMs));
		const reply = await this.options.net.exchange(addr, PeerOp.Request, {value: wire, bytes: order.body}, {signal, timeoutMs});
		const result = reply.value as AnsweredResult | FailedResult;
		return result.kind === 'answer' ? {...result, answer: {...result.answer, body: reply.bytes}} : result;
	}

	/** Waits for a change of the view. */
	private async park(ms: number, signal: AbortSignal): Promise<void> {
		return new Promise(resolve => {
			const done = () => {
				clearTimeout(timer);
				this.parked.delete(done);
				signal.removeEventListener('abort', done);
				resolve();
			};

			const timer = setTimeout(done, Math.max(1, ms));
			this.parked.add(done);
			signal.addEventListener('abort', done, {once: true});
		});
	}

	private wakeParked(): void {
		for (const wake of this.parked) {
			wake();
		}
	}

	private budget(service: string): RetryBudget {
		const known = this.budgets.get(service);
		if (known !== undefined) {
			return known;
		}

		const budget = new RetryBudget(this.options.retryBudget(this.options.view.nodes().length));
		this.budgets.set(service, budget);
		return budget;
	}
}
