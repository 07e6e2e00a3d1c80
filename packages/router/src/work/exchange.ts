import type {IncomingHttpHeaders} from 'node:http';
import type {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {ErrorKind, RequestError} from '@bluebellyard/core';
import {AnswerHandler, type WholeAnswer} from '@bluebellyard/http-client';
import type {Answer} from './order.js';

/** One HTTP request over a connection pool. */
export type Exchange = {
	readonly method: string;
	readonly path: string;
	readonly headers: Record<string, string | string[]>;
	readonly body: Buffer;
	/** Time until the request is aborted, in milliseconds. */
	readonly timeoutMs: number;
	readonly signal: AbortSignal;
	/** Called right before the first byte is written; throws when the request may no longer be sent. */
	readonly checkBeforeSend: () => void;
	/** Whether the other side may end answers with the connection, without a length or chunks. */
	readonly mayEndWithConnection: boolean;
};

/** Header by which requests and answers state the id of the order. */
export const orderIdHeader = 'x-order-id';

/** Maximum size of an answer, in bytes. */
const maxAnswerBytes = 64 * 1024 * 1024;

/**
 * Sends a request and resolves to its complete answer. Rejects with a `RequestError`;
 * its kind is `ConnectFailed` only if no byte of the request was written.
 */
export async function exchange(pool: Dispatcher, req: Exchange): Promise<Answer> {
	if (req.signal.aborted) {
		throw new RequestError(ErrorKind.CallerDisconnectedBeforeSend);
	}

	return new Promise((resolve, reject) => {
		const handler = new ExchangeHandler(req, resolve, reject);
		handler.send(pool, {
			// The method comes from the caller; undici refuses unknown ones.
			method: req.method,
			path: req.path,
			headers: req.headers,
			body: req.body.length === 0 ? null : req.body,
		});
	});
}

class ExchangeHandler extends AnswerHandler {
	private controller: Dispatcher.DispatchController | undefined;
	private mayBeWritten = false;
	private hasBegun = false;
	private failure: RequestError | undefined;
	private readonly timer: NodeJS.Timeout;
	private readonly onAbort: () => void;

	constructor(
		private readonly req: Exchange,
		private readonly resolve: (answer: Answer) => void,
		private readonly reject: (err: RequestError) => void,
	) {
		super({
			method: req.method, id: String(req.headers[orderIdHeader] ?? ''), idHeader: orderIdHeader, mayEndWithConnection: req.mayEndWithConnection,
		});
		this.onAbort = () => {
			this.fail(new RequestError(ErrorKind.CallerDisconnected));
		};

		this.timer = setTimeout(() => {
			this.fail(new RequestError(this.mayBeWritten ? ErrorKind.TargetTimeout : ErrorKind.DeadlinePassed));
		}, req.timeoutMs);
		req.signal.addEventListener('abort', this.onAbort, {once: true});
	}

	protected override handleStart(controller: Dispatcher.DispatchController): boolean {
		this.controller = controller;
		if (this.failure !== undefined) {
			controller.abort(this.failure);
			return false;
		}

		try {
			this.req.checkBeforeSend();
		} catch (err) {
			this.fail(err instanceof RequestError ? err : new RequestError(ErrorKind.Internal, String(err)));
			return false;
		}

		this.mayBeWritten = true;
		return true;
	}

	protected override handleHead(_status: number, _headers: IncomingHttpHeaders): void {
		this.hasBegun = true;
	}

	protected override handleProgress(bytes: number): void {
		if (this.failure !== undefined) {
			this.discardBody();
		} else if (bytes > maxAnswerBytes) {
			this.fail(new RequestError(ErrorKind.TruncatedAnswer, 'The answer is larger than 64 MiB.'));
		}
	}

	protected override handleAnswer({status, headers, body, framing}: WholeAnswer): void {
		this.cleanUp();
		if (this.failure === undefined) {
			this.resolve({
				status, headers, body, framing,
			});
		} else {
			this.reject(this.failure);
		}
	}

	protected override handleError(err: Error): void {
		this.cleanUp();
		this.reject(this.failure ?? this.classify(err));
	}

	private classify(err: Error): RequestError {
		if (!this.mayBeWritten) {
			return new RequestError(ErrorKind.ConnectFailed, err.message);
		}

		return new RequestError(this.hasBegun ? ErrorKind.TruncatedAnswer : ErrorKind.ConnectionLost, err.message);
	}

	/** Fails the exchange. It is rejected at once without a connection, `handleStart` then aborts it when it gets one, and while its answer is confirmed. */
	private fail(err: RequestError): void {
		this.failure ??= err;
		if (this.controller === undefined || this.hasArrived) {
			this.cleanUp();
			this.reject(this.failure);
		} else {
			this.controller.abort(this.failure);
		}
	}

	private cleanUp(): void {
		clearTimeout(this.timer);
		this.req.signal.removeEventListener('abort', this.onAbort);
	}
}
