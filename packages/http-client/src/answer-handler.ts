import type {IncomingHttpHeaders} from 'node:http';
import type {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {BodyBuffer} from '@bluebellyard/core';
import {UnverifiedReason, verifyAnswer, needsLiveSender} from './verify-answer.js';
import {AnswerFraming, findFraming, type StatedEnd} from './answer-framing.js';
import {isJoinedHead} from './joined-heads.js';
import {LaterAnswerSearch} from './later-answer.js';
import type {ConnectionState} from './connection-state.js';
import type {WholeAnswer} from './whole-answer.js';

/** Smallest status of HTTP. */
const minStatus = 100;

/** Largest number of interim responses before an answer; each takes time, and no length ends them. */
const maxInterimResponses = 32;

/** Number of chunks after which an answer waits for other work of the process. A chunk may have a single byte, and a connection delivers hundreds of thousands of those in a turn of the event loop. */
const maxChunksInTurn = 1024;

/** A request as far as its answer depends on it. */
export type AnsweredRequest = {
	readonly method: string;
	/** Id by which the answer may name the request; empty without one. */
	readonly id: string;
	/** Header by which requests and answers state that id, in lower case; undefined if the other side answers each request once. */
	readonly idHeader: string | undefined;
	/** Whether the other side may end answers with the connection. */
	readonly mayEndWithConnection: boolean;
};

/** Options of a request that is sent with an `AnswerHandler`. */
export type TrackedOptions = Dispatcher.DispatchOptions & {
	/** Observes the connection; set by `AnswerHandler.send`. */
	readonly answerHandler?: AnswerHandler;
};

/** Client that observes how its connection ends. */
export type ObservedClient = {
	/** State of the present connection, or of the last one. */
	readonly connection: ConnectionState | undefined;
	/** Resolves to whether the other side refuses another connection, as after its end. Never rejects. */
	readonly refusesConnections: () => Promise<boolean>;
};

/** What arrived is not proved to be a whole answer. */
export class UnverifiedAnswerError extends Error {
	override readonly name = 'UnverifiedAnswerError';

	/** `status` and `bytes` are those of what arrived. */
	constructor(readonly reason: UnverifiedReason, {framing, status, bytes}: {framing: AnswerFraming; status: number; bytes: number}) {
		super(`answer is not proved to be whole: ${reason}, status ${status}, ${bytes} bytes, end stated by ${framing}`);
	}
}

/**
 * Receives the answer to one request. Only whole answers reach `handleAnswer`; subclasses get no bytes of others. Needs a
 * `TrackedClient`, or a pool of them, for answers that end with their connection.
 */
export abstract class AnswerHandler implements Dispatcher.DispatchHandler {
	protected connection: ConnectionState | undefined;
	private readonly request: AnsweredRequest;
	private readonly body = new BodyBuffer();
	private status = 0;
	private headers: IncomingHttpHeaders = {};
	private statedEnd: StatedEnd = {framing: AnswerFraming.Unsupported};
	private client: ObservedClient | undefined;
	private laterAnswerSearch: LaterAnswerSearch | undefined;
	private isEnded = false;
	private isDiscarding = false;
	private interimResponses = 0;
	private chunksInTurn = 0;
	private isRejected = false;

	constructor(request: AnsweredRequest) {
		this.request = request;
	}

	/** Id of the request. */
	get requestId(): string {
		return this.request.id;
	}

	/** Sends the request. */
	send(dispatcher: Dispatcher, options: Dispatcher.DispatchOptions): void {
		const tracked: TrackedOptions = {...options, answerHandler: this};
		dispatcher.dispatch(tracked, this);
	}

	/** Called by the client that is about to send the request. */
	observe(client: ObservedClient): void {
		this.client = client;
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.connection = this.client?.connection;
		if (this.handleStart(controller)) {
			this.connection?.recordRequest(this.request.id);
		}
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders, reasonPhrase?: string): void {
		if (status < minStatus) {
			this.rejectHead(controller, status, UnverifiedReason.InvalidStatus);
			return;
		}

		if (isJoinedHead(reasonPhrase, headers)) {
			this.rejectHead(controller, status, UnverifiedReason.JoinedHeads);
			return;
		}

		this.handleResponse(status);
		if (status < 200) {
			this.interimResponses += 1;
			if (this.interimResponses > maxInterimResponses) {
				this.rejectHead(controller, status, UnverifiedReason.InterimResponses);
			}

			return;
		}

		this.status = status;
		this.headers = headers;
		this.statedEnd = findFraming(this.request.method, status, headers);
		if (this.connection !== undefined) {
			this.connection.isAnswerCloseDelimited = this.statedEnd.framing === AnswerFraming.Close;
		}

		this.laterAnswerSearch = this.createSearch(status, headers);

		this.handleHead(status, headers);
		if (!this.isDiscarding) {
			this.body.expect(this.statedEnd.length ?? 0);
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		this.limitTurn(controller);
		this.body.append(chunk);
		this.laterAnswerSearch?.append(chunk);
		this.handleProgress(this.body.length);
	}

	onResponseEnd(): void {
		if (this.isRejected) {
			return;
		}

		this.isEnded = true;
		const {status, headers, connection, statedEnd: {framing, length}, request: {mayEndWithConnection}} = this;
		const body = this.body.toBytes();
		const reason = verifyAnswer({
			framing, length, bytes: body.length, connection, hasLaterAnswer: this.laterAnswerSearch?.finish() ?? false, mayEndWithConnection,
		});
		const answer = {
			status, headers, body, framing,
		};
		if (reason !== undefined) {
			this.handleUnverified(reason, answer);
		} else if (needsLiveSender(framing)) {
			void this.confirm(answer);
		} else {
			this.handleAnswer(answer);
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, err: Error): void {
		if (!this.isRejected) {
			this.handleError(err);
		}
	}

	/** Whether all of the answer has arrived; it may still have to be confirmed. */
	protected get hasArrived(): boolean {
		return this.isEnded;
	}

	/** Number of bytes that are held for the answer: what has arrived of its body, and what the search of it keeps. */
	protected get heldBytes(): number {
		return this.body.length + (this.laterAnswerSearch?.heldBytes ?? 0);
	}

	/** Drops what has arrived of the body. */
	protected discardBody(): void {
		this.isDiscarding = true;
		this.body.clear();
		this.laterAnswerSearch = undefined;
	}

	/** Handles the head of an interim or final response. */
	protected handleResponse(_status: number): void {
		// Nothing to do.
	}

	/** Handles the head of the answer. */
	protected handleHead(_status: number, _headers: IncomingHttpHeaders): void {
		// Nothing to do.
	}

	/** Handles that the body has grown to a number of bytes. */
	protected handleProgress(_bytes: number): void {
		// Nothing to do.
	}

	/** Handles that the request is about to be written; returns whether it may be. */
	protected abstract handleStart(controller: Dispatcher.DispatchController): boolean;

	/** Handles a whole answer. */
	protected abstract handleAnswer(answer: WholeAnswer): void;

	/** Handles the end of a request without a whole answer; a `UnverifiedAnswerError` if bytes arrived that may be one. */
	protected abstract handleError(err: Error): void;

	/** Returns the search for a later answer among the bytes of an answer; undefined if there can be none. */
	private createSearch(status: number, headers: IncomingHttpHeaders): LaterAnswerSearch | undefined {
		const {connection, request: {idHeader}, statedEnd: {framing}} = this;
		if (framing !== AnswerFraming.Close || idHeader === undefined || connection === undefined) {
			return undefined;
		}

		return new LaterAnswerSearch({
			status, headers, idHeader, requestIds: connection.requestIds,
		});
	}

	/** Reads no more chunks in this turn of the event loop after a number of them. */
	private limitTurn(controller: Dispatcher.DispatchController): void {
		this.chunksInTurn += 1;
		if (this.chunksInTurn < maxChunksInTurn || this.statedEnd.framing !== AnswerFraming.Chunks) {
			return;
		}

		this.chunksInTurn = 0;
		controller.pause();
		setImmediate(() => {
			controller.resume();
		});
	}

	/** Ends the request: nothing that follows such a head belongs to an answer. */
	private rejectHead(controller: Dispatcher.DispatchController, status: number, reason: UnverifiedReason): void {
		if (this.isRejected) {
			return;
		}

		this.isRejected = true;
		const err = new UnverifiedAnswerError(reason, {framing: AnswerFraming.Unsupported, status, bytes: 0});
		controller.abort(err);
		this.handleError(err);
	}

	private async confirm(answer: WholeAnswer): Promise<void> {
		if (await this.client?.refusesConnections() === false) {
			this.handleAnswer(answer);
		} else {
			this.handleUnverified(UnverifiedReason.SenderGone, answer);
		}
	}

	private handleUnverified(reason: UnverifiedReason, {framing, status, body}: WholeAnswer): void {
		this.handleError(new UnverifiedAnswerError(reason, {framing, status, bytes: body.length}));
	}
}
