import {Buffer} from 'node:buffer';
import {
	AttemptOutcome, ErrorKind, RunMode, type Clock, type HostRoute,
} from '@bluebellyard/core';
import {PeerOp} from '../cluster/index.js';
import type {CancelSignal} from '../net/index.js';
import {noBytes, type Message, type PeerNet} from '../peers/index.js';
import {
	ConnectionFault, errorByOutcome, toAnswer, type PathChecker, type TargetClient, type TargetResult,
} from '../queue/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {View} from '../view/index.js';
import {
	failure, toTargetRequest, type Order, type OrderResult,
} from './order.js';
import {encodeOrder, type WireWithdrawal} from './wire-order.js';
import {
	decodePermit, encodeEnd, type DirectPermit, type PermittedTarget,
} from './wire-permit.js';
import {decodeResult} from './wire-result.js';

/** Time after the deadline at which a forwarded request is aborted, in milliseconds. */
const forwardSlackMs = 120;

/** Delay after the deadline before a request at a target is aborted, in milliseconds, so that the target times out first; that of the steward. */
const answerSlackMs = 20;

/** Time for which nothing is sent directly after a target was not reached, in milliseconds: by then an instance that is cut off has found it out. */
const pauseMs = 2000;

/** Timeout for taking an order back, in milliseconds; its result tells whether it was. */
const withdrawalTimeoutMs = 500;

/** Retry delay reported with a failed attempt, in milliseconds. */
const refusalRetryMs = 100;

/** What an instance needs to send requests to targets of which it is not the steward. */
export type DirectPath = {
	readonly client: Pick<TargetClient, 'send'>;
	/** Watches the connections to targets, and tells whether this instance reaches any. */
	readonly paths: Pick<PathChecker, 'watch' | 'isCutOff'>;
	/** Returns the expected run time of a request, in milliseconds. */
	readonly estimateWorkMs: (route: string, objectiveMs: number) => number;
	/** Failure domain of this instance. */
	readonly domain: string;
	/** Prefix of the tokens of this process, unique among all instances. */
	readonly tokenPrefix: string;
};

/** Options of an order forwarder. */
export type OrderForwarderOptions = {
	readonly view: View;
	readonly net: Pick<PeerNet, 'exchange'>;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Undefined if this instance sends nothing directly. */
	readonly direct?: DirectPath;
};

/** Steward to which an order is forwarded. */
export type ForwardTo = {
	readonly addr: string;
	readonly queueId: string;
	readonly signal: CancelSignal;
};

/** Forwards orders to the steward of their dispatch queue, and sends those to the target itself that the steward permits. */
export class OrderForwarder {
	private readonly options: OrderForwarderOptions;
	private nextToken = 1;
	/** Orders that were forwarded and whose result has not arrived, with the steward that has them. */
	private readonly forwarded = new Map<Order, Pick<ForwardTo, 'addr' | 'queueId'>>();
	/** Time until which nothing is sent directly. */
	private pausedUntil = Number.NEGATIVE_INFINITY;

	constructor(options: OrderForwarderOptions) {
		this.options = options;
	}

	/** Forwards an order. Rejects with a `LinkError` if the steward's answer does not arrive. */
	async forward(order: Order, to: ForwardTo): Promise<OrderResult> {
		const {clock, direct} = this.options;
		if (direct === undefined || !this.maySendDirectly(order, direct)) {
			return decodeResult(await this.exchange(order, to));
		}

		const token = `${direct.tokenPrefix}/${this.nextToken++}`;
		const sentAt = clock.now();
		let reply: Message;
		try {
			reply = await this.exchange(order, to, token);
		} catch (err) {
			if (to.signal.aborted) {
				// The permit may be on its way.
				this.reportInBackground(to, token, unused('the caller left'));
			}

			throw err;
		}

		const permit = decodePermit(reply);
		return permit === undefined ? decodeResult(reply) : this.usePermit(order, permit, {...to, token, sentAt}, direct);
	}

	/** Asks the stewards for the selected orders that still wait there. They give these back as if they were not the steward. */
	withdraw(isSelected: (order: Order) => boolean): void {
		for (const [order, {addr, queueId}] of this.forwarded) {
			if (order.requestId !== '' && isSelected(order)) {
				this.forwarded.delete(order);
				const value: WireWithdrawal = {desk: queueId, id: order.requestId};
				this.options.net.exchange(addr, PeerOp.RequestWithdrawal, {value, bytes: noBytes}, {timeoutMs: withdrawalTimeoutMs}).catch((err: unknown) => {
					this.options.telemetry.logRequest('A request could not be withdrawn from its steward.', {id: order.requestId, desk: queueId, err});
				});
			}
		}
	}

	/** Returns whether an order can be sent directly: its response may be large, and nothing speaks against running it twice or against the way to the target. */
	private maySendDirectly({route, isOnce, mode}: Order, {paths}: DirectPath): boolean {
		const {view, clock} = this.options;
		return !isOnce && mode === RunMode.Usual && view.store.get<HostRoute>(`route/${route}`)?.hasLargeAnswers === true
			&& !paths.isCutOff && clock.now() >= this.pausedUntil;
	}

	private async usePermit(order: Order, permit: DirectPermit, to: ForwardTo & {token: string; sentAt: number}, direct: DirectPath): Promise<OrderResult> {
		const {clock, telemetry: {metrics}} = this.options;
		const startedAt = clock.now();
		// The clocks differ, so that the way of both messages counts as age of the permit.
		const isLate = startedAt - to.sentAt - permit.waitMs > permit.useMs || startedAt >= order.deadline || !this.isUsable(permit);
		const result = isLate ? unused('the permit was late') : await this.send(order, permit, to.signal, direct);
		const tookMs = clock.now() - startedAt;
		const {target: {id: target}, waitMs, load} = permit;
		const {outcome, isNotRun, reason} = result;
		if (outcome === AttemptOutcome.Answered) {
			metrics.directRequests.inc({result: 'answered'});
			this.reportInBackground(to, to.token, result, tookMs);
			return {
				kind: 'answer', target, waitMs, ...(load !== undefined && {load}), answer: toAnswer(result),
			};
		}

		const isUnreached = outcome === AttemptOutcome.Unreachable && isNotRun;
		if (result.meta === undefined && outcome !== AttemptOutcome.Cancelled) {
			this.pausedUntil = clock.now() + pauseMs;
		}

		if (isLate || isUnreached) {
			metrics.directRequests.inc({result: isLate ? 'late' : 'unreached'});
			this.reportInBackground(to, to.token, result, tookMs);
			if (!to.signal.aborted && clock.now() < order.deadline) {
				this.options.telemetry.logRequest('Not sent directly, but through the steward.', {id: order.requestId, target, reason});
				return decodeResult(await this.exchange(order, to));
			}

			// The steward's result is that of a withdrawn order, although the caller may wait.
			const error = isLate && !to.signal.aborted ? ErrorKind.DeadlinePassed : errorByOutcome[outcome];
			return failure(error, {
				target, waitMs, reason, retryAfterMs: refusalRetryMs,
			});
		}

		metrics.directRequests.inc({result: 'failed'});
		return await this.reportFailure(order, to, result, tookMs) ?? failure(errorByOutcome[outcome], {
			isNotRun, target, waitMs, reason, retryAfterMs: refusalRetryMs,
		});
	}

	/** Returns whether the target of a permit may receive work as far as this instance knows; it may not know a new one. */
	private isUsable({target}: DirectPermit): boolean {
		const {view} = this.options;
		const known = view.targets.get(target.id);
		return known === undefined || view.isUsable(known);
	}

	private async send(order: Order, {target}: DirectPermit, signal: CancelSignal, {client, paths, estimateWorkMs, domain}: DirectPath): Promise<TargetResult> {
		const watch = paths.watch({target: target.id, expectedMs: Math.max(1, estimateWorkMs(order.route, order.objectiveMs)), mayEnd: true});
		const result = await client.send({
			addr: target.addr,
			target: target.name,
			...toTargetRequest(order),
			timeLeftMs: Math.max(1, Math.floor(order.deadline - this.options.clock.now() + answerSlackMs)),
			connections: this.idleConnections(order, target, domain),
			signal,
			observer: watch,
		});
		watch.end(result);
		return result;
	}

	/** Returns how many idle connections to a target this instance may keep: one, if all instances in the target's domain may keep one beside those of the steward and those in use. */
	private idleConnections({service}: Order, target: PermittedTarget, domain: string): number {
		const {view} = this.options;
		if (view.targets.get(target.id)?.domain !== domain) {
			return 0;
		}

		const instances = view.nodes().filter(node => node.domain === domain).length;
		const maxConnections = view.allServices.get(service)?.maxConnections ?? 0;
		return instances + (2 * (target.slots + 1)) <= maxConnections ? 1 : 0;
	}

	/** Reports a failure. Resolves to the steward's result, which tells whether the target is gone; undefined if it can't be learned. */
	private async reportFailure(order: Order, to: ForwardTo & {token: string}, result: TargetResult, tookMs: number): Promise<OrderResult | undefined> {
		const {clock} = this.options;
		try {
			const timeoutMs = Math.max(1, Math.ceil(order.deadline - clock.now() + forwardSlackMs));
			const reply = await this.report(to, encodeEnd(to.token, result, tookMs), timeoutMs);
			return reply.value === undefined || reply.value === null ? undefined : decodeResult(reply);
		} catch {
			return undefined;
		}
	}

	private reportInBackground(to: ForwardTo, token: string, result: TargetResult, tookMs = 0): void {
		// A lost report ends the permit with the link.
		this.report(to, encodeEnd(token, result, tookMs), pauseMs).catch(() => undefined);
	}

	private async report({addr}: ForwardTo, message: Message, timeoutMs: number): Promise<Message> {
		return this.options.net.exchange(addr, PeerOp.RequestEnd, message, {timeoutMs});
	}

	private async exchange(order: Order, {addr, queueId, signal}: ForwardTo, token?: string): Promise<Message> {
		const {net, clock} = this.options;
		const now = clock.now();
		const wire = {...encodeOrder(order, queueId, now), ...(token !== undefined && {dx: token})};
		const timeoutMs = Math.max(1, Math.ceil(order.deadline - now + forwardSlackMs));
		this.forwarded.set(order, {addr, queueId});
		try {
			return await net.exchange(addr, PeerOp.Request, {value: wire, bytes: order.body}, {signal, timeoutMs});
		} finally {
			this.forwarded.delete(order);
		}
	}
}

/** Returns the result of a permit that is not used. */
function unused(reason: string): TargetResult {
	return {
		outcome: AttemptOutcome.Cancelled, isNotRun: true, status: 0, headers: [], body: Buffer.alloc(0), meta: undefined, fault: ConnectionFault.None, reason,
	};
}
