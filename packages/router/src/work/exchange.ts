import type {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {BodyBuffer, ErrorKind, RequestError} from '@bluebellyard/core';
import type {Answer, Headers} from './order.js';

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
};

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
		pool.dispatch({
			// The method comes from the caller; undici refuses unknown ones.
			method: req.method,
			path: req.path,
			headers: req.headers,
			body: req.body.length === 0 ? null : req.body,
		}, handler);
	});
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
	private controller: Dispatcher.DispatchController | undefined;
	private mayBeWritten = false;
	private failure: RequestError | undefined;
	private status = 0;
	private headers: Headers = {};
	private readonly body = new BodyBuffer();
	private readonly timer: NodeJS.Timeout;
	private readonly onAbort: () => void;

	constructor(
		private readonly req: Exchange,
		private readonly resolve: (answer: Answer) => void,
		private readonly reject: (err: RequestError) => void,
	) {
		this.onAbort = () => {
			this.fail(new RequestError(ErrorKind.CallerDisconnected));
		};

		this.timer = setTimeout(() => {
			this.fail(new RequestError(this.mayBeWritten ? ErrorKind.TargetTimeout : ErrorKind.DeadlinePassed));
		}, req.timeoutMs);
		req.signal.addEventListener('abort', this.onAbort, {once: true});
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.controller = controller;
		if (this.failure !== undefined) {
			controller.abort(this.failure);
			return;
		}

		try {
			this.req.checkBeforeSend();
		} catch (err) {
			this.fail(err instanceof RequestError ? err : new RequestError(ErrorKind.Internal, String(err)));
			return;
		}

		this.mayBeWritten = true;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
		this.status = status;
		this.headers = headers;
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.failure !== undefined) {
			return;
		}

		this.body.append(chunk);
		if (this.body.length > maxAnswerBytes) {
			this.fail(new RequestError(ErrorKind.TruncatedAnswer, 'The answer is larger than 64 MiB.'));
		}
	}

	onResponseEnd(): void {
		this.cleanUp();
		this.resolve({status: this.status, headers: this.headers, body: this.body.toBytes()});
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, err: Error): void {
		this.cleanUp();
		this.reject(this.failure ?? this.classify(err));
	}

	private classify(err: Error): RequestError {
		if (!this.mayBeWritten) {
			return new RequestError(ErrorKind.ConnectFailed, err.message);
		}

		return new RequestError(this.status === 0 ? ErrorKind.ConnectionLost : ErrorKind.TruncatedAnswer, err.message);
	}

	/** Fails the exchange. Without a connection it is rejected at once, and `onRequestStart` aborts it when it gets one. */
	private fail(err: RequestError): void {
		this.failure ??= err;
		if (this.controller === undefined) {
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
