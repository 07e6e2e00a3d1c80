import type {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {AnswerHandler} from './answer-handler.js';
import type {WholeAnswer} from './whole-answer.js';

/** A request to a side that answers each request once. */
export type WholeRequest = {
	readonly method: Dispatcher.HttpMethod;
	readonly path: string;
	readonly body?: Buffer | undefined;
	/** Aborts the request. */
	readonly signal: AbortSignal;
	/** Called when the answer begins, and when it goes on. */
	readonly onProgress: () => void;
};

/** Sends a request over a pool of tracked clients, and resolves to its whole answer. Rejects with the error of the connection, the reason of the signal or a `UnverifiedAnswerError`. */
export async function requestWhole(pool: Dispatcher, req: WholeRequest): Promise<WholeAnswer> {
	return new Promise((resolve, reject) => {
		const {method, path, body} = req;
		new WholeAnswerHandler(req, resolve, reject).send(pool, {method, path, body: body ?? null});
	});
}

class WholeAnswerHandler extends AnswerHandler {
	private controller: Dispatcher.DispatchController | undefined;
	private readonly onAbort: () => void;

	constructor(
		private readonly req: WholeRequest,
		private readonly resolve: (answer: WholeAnswer) => void,
		private readonly reject: (err: Error) => void,
	) {
		super({
			method: req.method, id: '', idHeader: undefined, mayEndWithConnection: true,
		});
		this.onAbort = () => {
			this.handleError(this.abortError);
			this.controller?.abort(this.abortError);
		};

		req.signal.addEventListener('abort', this.onAbort, {once: true});
	}

	protected override handleStart(controller: Dispatcher.DispatchController): boolean {
		this.controller = controller;
		if (this.req.signal.aborted) {
			controller.abort(this.abortError);
			return false;
		}

		return true;
	}

	protected override handleHead(): void {
		this.req.onProgress();
	}

	protected override handleProgress(): void {
		this.req.onProgress();
	}

	protected override handleAnswer(answer: WholeAnswer): void {
		this.req.signal.removeEventListener('abort', this.onAbort);
		this.resolve(answer);
	}

	protected override handleError(err: Error): void {
		this.req.signal.removeEventListener('abort', this.onAbort);
		this.reject(err);
	}

	private get abortError(): Error {
		const {reason} = this.req.signal as {readonly reason: unknown};
		return reason instanceof Error ? reason : new Error(String(reason));
	}
}
