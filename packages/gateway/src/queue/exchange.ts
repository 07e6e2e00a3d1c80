/**
 * One request to a target and its answer.
 */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {AttemptOutcome, type MemoryBudget, type BudgetShare} from '@bluebellyard/core';
import {
	UnverifiedReason, AnswerHandler, UnverifiedAnswerError, type WholeAnswer,
} from '@bluebellyard/http-client';
import type {HeaderList, TargetHeaders, Wire} from '../ports/index.js';
import {ConnectionFault, type TargetRequest, type TargetResult} from './target-result.js';

/** Largest body of an answer, in bytes. */
const maxAnswerBytes = 64 * 1024 * 1024;

/** Faults of a connection that could not be opened, by error code; any other code is `ConnectionFault.Failed`. */
const connectFaults = new Map([
	['ECONNREFUSED', ConnectionFault.Refused],
	['ETIMEDOUT', ConnectionFault.TimedOut],
	['UND_ERR_CONNECT_TIMEOUT', ConnectionFault.TimedOut],
]);

/** Status with which targets refuse requests for another target or for keys that they do not own. */
const misdirectedStatus = 421;

/** Statuses that state that a request did not run. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** What exchanges share. */
export type ExchangeOptions = {
	readonly wire: Wire;
	/** Answers that are being received count towards it. */
	readonly budget: MemoryBudget;
	/** Called when something arrived that is not proved to be a whole answer. */
	readonly onUnverified?: (req: TargetRequest, err: UnverifiedAnswerError) => void;
};

/** Handles the events of one request until it is answered, fails or is aborted. */
export class Exchange extends AnswerHandler {
	readonly result: Promise<TargetResult>;
	private readonly resolve: (result: TargetResult) => void;
	private controller: Dispatcher.DispatchController | undefined;
	private isDone = false;
	private isWritten = false;
	/** Length of the body that the answer states; 0 without one. */
	private statedBytes = 0;
	/** Whether the head of the final answer has arrived. */
	private hasBegun = false;
	private meta: TargetHeaders | undefined;
	private readonly share: BudgetShare;
	private readonly wire: Wire;
	private readonly onUnverified: ExchangeOptions['onUnverified'];
	private readonly timer: NodeJS.Timeout;
	private readonly onAbort: () => void;

	constructor(private readonly req: TargetRequest, {wire, budget, onUnverified}: ExchangeOptions) {
		super({
			method: req.method, id: req.requestId, idHeader: wire.requestIdHeader, mayEndWithConnection: true,
		});
		this.wire = wire;
		this.onUnverified = onUnverified;
		this.share = budget.open(() => {
			this.fail(AttemptOutcome.Broken, 'what is held for requests and answers takes too much memory');
		});
		let resolve: (result: TargetResult) => void = () => undefined;
		this.result = new Promise(done => {
			resolve = done;
		});
		this.resolve = resolve;
		this.onAbort = () => {
			this.fail(AttemptOutcome.Cancelled, 'given up');
		};

		this.timer = setTimeout(() => {
			this.fail(this.isWritten ? AttemptOutcome.TimedOut : AttemptOutcome.Unreachable, 'no answer in time');
		}, req.timeLeftMs);
		req.signal.addEventListener('abort', this.onAbort, {once: true});
		req.observer?.onStart((reason, includesSent) => {
			if (includesSent || !this.isWritten) {
				this.fail(this.isWritten ? AttemptOutcome.Broken : AttemptOutcome.Unreachable, reason);
			}
		});
	}

	protected override handleStart(controller: Dispatcher.DispatchController): boolean {
		this.controller = controller;
		if (this.isDone) {
			controller.abort(new Error('given up'));
			return false;
		}

		this.isWritten = true;
		return true;
	}

	protected override handleResponse(): void {
		this.req.observer?.onResponse(this.connection?.connectedAt ?? Number.NEGATIVE_INFINITY);
	}

	protected override handleHead(status: number, headers: IncomingHttpHeaders): void {
		this.hasBegun = true;
		const meta = this.wire.readTarget(headers);
		if (meta.requestId !== this.req.requestId) {
			// A target may send an answer twice; what a second copy states belongs to an earlier request.
			this.fail(AttemptOutcome.Broken, this.describeForeignAnswer(status, meta.requestId));
			return;
		}

		this.meta = meta;
		const stated = Number(headers['content-length'] ?? 0);
		if (stated <= maxAnswerBytes) {
			this.statedBytes = stated;
			this.share.update(stated);
		}
	}

	protected override handleProgress(bytes: number): void {
		if (this.isDone) {
			this.discardBody();
			return;
		}

		this.share.update(Math.max(this.heldBytes, this.statedBytes));
		if (bytes > maxAnswerBytes) {
			this.fail(AttemptOutcome.Broken, 'the answer is too large');
		}
	}

	protected override handleAnswer(answer: WholeAnswer): void {
		this.finish(this.classify(answer));
	}

	protected override handleError(err: NodeJS.ErrnoException): void {
		if (this.isDone) {
			return;
		}

		if (err instanceof UnverifiedAnswerError) {
			this.onUnverified?.(this.req, err);
			const fault = err.reason === UnverifiedReason.ConnectionLost ? ConnectionFault.Lost : ConnectionFault.None;
			this.finish({...this.withoutAnswer(AttemptOutcome.Broken, err.message), fault});
			return;
		}

		const outcome = this.isWritten ? AttemptOutcome.Broken : AttemptOutcome.Unreachable;
		const unsentFault = connectFaults.get(err.code ?? '') ?? ConnectionFault.Failed;
		this.finish({...this.withoutAnswer(outcome, err.message), isNotRun: !this.isWritten, fault: this.isWritten ? ConnectionFault.Lost : unsentFault});
	}

	private classify({status, headers, body, framing}: WholeAnswer): TargetResult {
		const {meta} = this;
		const answered = {
			status, headers: toHeaderList(headers), body, framing, meta, fault: ConnectionFault.None,
		};
		if (meta?.isNotRun === true || status === misdirectedStatus) {
			const outcome = status === misdirectedStatus ? AttemptOutcome.NotRun : AttemptOutcome.Full;
			return {
				...answered, outcome, isNotRun: true, reason: `target answered ${status}, not run`,
			};
		}

		if (status < 300 && meta?.isSealed !== true) {
			return this.withoutAnswer(AttemptOutcome.Broken, 'answer without a seal');
		}

		if (notRunStatuses.has(status)) {
			return this.withoutAnswer(AttemptOutcome.Broken, `target answered ${status} without saying that it did not run`);
		}

		return {
			...answered, outcome: AttemptOutcome.Answered, isNotRun: false, reason: '',
		};
	}

	private describeForeignAnswer(status: number, named: string): string {
		const {socket, sentRequests} = this.connection ?? {};
		return `answer of another request: ${status} names ${named === '' ? 'no request' : named}, local port ${socket?.localPort ?? 'unknown'}, request ${sentRequests ?? 0} on the connection`;
	}

	private fail(outcome: AttemptOutcome, reason: string): void {
		const isNotRun = !this.isWritten;
		this.finish({...this.withoutAnswer(outcome, reason), isNotRun});
		if (this.isWritten && !this.hasBegun) {
			// A reset discards the bytes in transit. Once an answer has begun, the request has arrived, and `undici` would
			// take a reset from this side for the end of an answer without a length, and throw out of the event loop.
			this.connection?.socket.resetAndDestroy();
		}

		this.controller?.abort(new Error(reason));
	}

	private withoutAnswer(outcome: AttemptOutcome, reason: string): TargetResult {
		return {
			outcome, isNotRun: false, status: 0, headers: [], body: Buffer.alloc(0), meta: this.meta, fault: ConnectionFault.None, reason,
		};
	}

	private finish(result: TargetResult): void {
		if (this.isDone) {
			return;
		}

		this.isDone = true;
		clearTimeout(this.timer);
		this.req.signal.removeEventListener('abort', this.onAbort);
		this.discardBody();
		this.share.release();
		this.resolve(result);
	}
}

function toHeaderList(headers: IncomingHttpHeaders): HeaderList {
	const list: Array<readonly [string, string]> = [];
	for (const name of Object.keys(headers)) {
		const value = headers[name];
		if (typeof value === 'string') {
			list.push([name, value]);
		} else {
			for (const item of value ?? []) {
				list.push([name, item]);
			}
		}
	}

	return list;
}
