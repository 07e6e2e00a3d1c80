import {Buffer} from 'node:buffer';
import {AttemptOutcome, RunMode, type Clock} from '@bluebellyard/core';
import type {CancelSignal} from '../net/index.js';
import type {LinkState} from '../peers/index.js';
import {ConnectionFault, type DispatchQueues, type TargetResult} from '../queue/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {Order, OrderResult} from './order.js';
import type {DirectPermit} from './wire-permit.js';

/** Time for which a permit may be used, in milliseconds: some delay of messages and of a busy process. The slot is taken meanwhile, and the target may announce that it leaves. */
const permitUseMs = 300;

/** Time after the end of the request for which its report is awaited, in milliseconds: without it, requests that time out at their sender would end here first, so that crash detection would forget them. */
const reportSlackMs = 60;

/** What ends a permit. */
enum PermitEnd {
	Report = 'report',
	/** The link to the instance that holds it is lost. */
	Link = 'link',
	Deadline = 'deadline',
}

/** Options of the direct permits. */
export type DirectPermitsOptions = {
	readonly queues: Pick<DispatchQueues, 'run'>;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
};

/** An order that its sender can send to the target itself. */
export type DirectOrder = {
	readonly queueId: string;
	readonly order: Order;
	/** Token by which the sender reports the end of the order; undefined if it can't send it, or must not. */
	readonly token: string | undefined;
	/** Aborts when the sender withdraws the order before it is permitted. */
	readonly signal: CancelSignal;
	/** Link over which the order came; undefined if it is not known when that is lost. */
	readonly link: LinkState | undefined;
};

type Permitted = {
	readonly order: Order;
	readonly token: string;
	readonly link: LinkState;
};

/** Lets other instances send orders to targets themselves, once a dispatch queue of this instance has admitted them, and holds their slots until the end is reported. */
export class DirectPermits {
	private readonly options: DirectPermitsOptions;
	/** Functions that end the open permits, by token. */
	private readonly open = new Map<string, (result: TargetResult, end: PermitEnd) => void>();
	/** Results of orders that wait or have a permit, by token. */
	private readonly results = new Map<string, Promise<OrderResult>>();

	constructor(options: DirectPermitsOptions) {
		this.options = options;
	}

	/** Number of permits whose end was not reported yet. */
	get openCount(): number {
		return this.open.size;
	}

	/** Queues an order. Resolves to a permit once a target has a free slot for it, or to the result if it gets none. Never rejects. */
	async run(direct: DirectOrder): Promise<DirectPermit | OrderResult> {
		const {queues, clock} = this.options;
		const {queueId, order, token, signal, link} = direct;
		// A request that must run at most once, or whose target may end under it, is sent by the steward only.
		if (token === undefined || link === undefined || order.isOnce || order.mode !== RunMode.Usual) {
			return queues.run(queueId, order, signal);
		}

		const queuedAt = clock.now();
		return new Promise(resolve => {
			const result = queues.run(queueId, {
				...order, sender: {
					send: async ({timeLeftMs}, {id, name, addr, slots}) => {
						resolve({
							kind: 'permit', useMs: permitUseMs, waitMs: Math.floor(clock.now() - queuedAt), target: {
								id, name, addr, slots,
							},
						});
						return this.waitForEnd({order, token, link}, id, timeLeftMs);
					},
				},
			}, signal);
			this.results.set(token, result);
			void result.then(ended => {
				this.results.delete(token);
				resolve(ended);
			});
		});
	}

	/** Ends a permit by the report of its holder. Resolves to the result of the order; undefined if no permit with the token is open. */
	async end(token: string, reported: TargetResult): Promise<OrderResult | undefined> {
		const result = this.results.get(token);
		const end = this.open.get(token);
		if (end === undefined) {
			return undefined;
		}

		// That another instance reaches the target not, or does not send the request, tells nothing of the target.
		const isUnsent = reported.outcome === AttemptOutcome.Unreachable && reported.isNotRun;
		end(isUnsent ? {...reported, outcome: AttemptOutcome.Cancelled, fault: ConnectionFault.None} : reported, PermitEnd.Report);
		return result;
	}

	/** Resolves to the result that the holder of a permit reports. Without a report it ends when the link is lost or the request can no longer be answered in time, so that no slot is lost. */
	private async waitForEnd({token, order, link}: Permitted, target: string, timeLeftMs: number): Promise<TargetResult> {
		const {telemetry} = this.options;
		return new Promise(resolve => {
			let withdraw: () => void = () => undefined;
			const finish = (result: TargetResult, end: PermitEnd) => {
				clearTimeout(timer);
				withdraw();
				this.open.delete(token);
				telemetry.metrics.directPermits.inc({end});
				if (end !== PermitEnd.Report) {
					telemetry.logRequest('The end of a direct request was not reported.', {id: order.requestId, target, end});
				}

				resolve(result);
			};

			const timer = setTimeout(() => {
				finish(withoutReport('no report by the deadline'), PermitEnd.Deadline);
			}, timeLeftMs + reportSlackMs);
			this.open.set(token, finish);
			withdraw = link.whenDown(() => {
				finish(withoutReport('the link to the sender was lost'), PermitEnd.Link);
			});
		});
	}
}

/** Returns the result of a request whose end is not known; it tells nothing of the target. */
function withoutReport(reason: string): TargetResult {
	return {
		outcome: AttemptOutcome.Cancelled, isNotRun: false, status: 0, headers: [], body: Buffer.alloc(0), meta: undefined, fault: ConnectionFault.None, reason,
	};
}
