import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	BodyBuffer, ErrorKind, type BudgetShare, type MemoryBudget,
} from '@bluebellyard/core';
import type {ReadPause} from '@bluebellyard/http-client';
import {failure, type FailedResult} from '../dispatch/index.js';
import type {CancelSignal} from '../net/index.js';
import type {ChunkSender, ChunkTurns} from './chunk-turns.js';
import {smallChunkBytes} from './refusal.js';

/** Retry delay reported when what is held for others takes all memory for it, in milliseconds. */
export const memoryRetryMs = 1000;

/** Interval between checks of a body that is still arriving after its deadline, in milliseconds. */
const progressCheckMs = 1000;

/** Number of bytes that must arrive in that time. */
const minProgressBytes = 16_384;

/** Number of small chunks that are read before others take their turn; far less than a read of the socket may contain. */
const chunksPerTurn = 1024;

/** The body of a request, or why it was not read. */
export type RequestBody = {
	readonly isRead: true;
	readonly bytes: Buffer;
	/** Must be called when the bytes are not held any more. */
	readonly release: () => void;
} | {
	readonly isRead: false;
	readonly failure: FailedResult;
};

/** Options of `readBody`. */
export type ReadBodyOptions = {
	readonly maxBytes: number;
	/** Time for which the rest of the body is waited for, in milliseconds. */
	readonly timeoutMs: number;
	/** The body counts towards it until it is released. */
	readonly budget: MemoryBudget;
	/** Aborts when the request can't be answered any more before the process ends. */
	readonly tooLate: CancelSignal;
	/** Turns of the bodies in small chunks. */
	readonly turns: ChunkTurns;
	/** Stops reading from the connection; undefined if it is closed. */
	readonly pause: ReadPause | undefined;
};

/** Reads the body of a request. */
export async function readBody(req: IncomingMessage, options: ReadBodyOptions): Promise<RequestBody> {
	const {'content-length': length, 'transfer-encoding': encoding} = req.headers;
	if (length === undefined && encoding === undefined) {
		return {isRead: true, bytes: Buffer.alloc(0), release: () => undefined};
	}

	if (Number(length) > options.maxBytes) {
		return {isRead: false, failure: tooLarge};
	}

	return new Promise(resolve => {
		new BodyReader(req, options, resolve).start();
	});
}

const tooLarge = failure(ErrorKind.BodyTooLarge, {reason: 'the request body exceeds the limit'});

/** Receives one body. Listeners cost less than an iterator, which also keeps the chunks that wait as objects. */
class BodyReader {
	private readonly body = new BodyBuffer();
	private readonly share: BudgetShare;
	private readonly sender: ChunkSender | undefined;
	private smallChunks = 0;
	private isDone = false;
	/** Length of the body that its head states; 0 without one. */
	private statedBytes = 0;
	private isLate = false;
	/** Length of the body when its progress was last checked. */
	private checkedBytes = 0;
	private timer: NodeJS.Timeout | undefined;

	constructor(
		private readonly req: IncomingMessage,
		private readonly options: ReadBodyOptions,
		private readonly resolve: (body: RequestBody) => void,
	) {
		const {budget, pause} = options;
		this.share = budget.open(() => {
			this.stop(failure(ErrorKind.InstanceBusy, {retryAfterMs: memoryRetryMs, reason: 'what is held for requests and answers takes too much memory'}));
		});
		this.sender = pause === undefined
			? undefined
			: {
				pause,
				isLate: () => this.isLate,
				reject: () => {
					this.stopLate();
				},
			};
	}

	start(): void {
		const {tooLate, timeoutMs} = this.options;
		const stated = Number(this.req.headers['content-length'] ?? 0);
		this.statedBytes = Number.isFinite(stated) ? stated : 0;
		this.body.expect(this.statedBytes);
		this.timer = setTimeout(this.checkProgress, Math.max(0, timeoutMs));
		tooLate.addEventListener('abort', this.stopTooLate);
		this.req.on('data', this.collect);
		this.req.once('close', this.stopClosed);
		this.req.once('end', this.finish);
	}

	private readonly collect = (chunk: Buffer): void => {
		this.share.update(Math.max(this.body.length + chunk.length, this.statedBytes));
		if (this.isDone) {
			// It was given up for its size.
			return;
		}

		this.body.append(chunk);
		if (this.body.length > this.options.maxBytes) {
			this.stop(tooLarge);
		} else if (chunk.length < smallChunkBytes) {
			this.smallChunks += 1;
			if (this.sender !== undefined && this.smallChunks % chunksPerTurn === 0) {
				this.options.turns.wait(this.sender);
			}
		}
	};

	/** After the deadline, goes on only while the body arrives. */
	private readonly checkProgress = (): void => {
		const {turns} = this.options;
		const arrivedBytes = this.body.length - this.checkedBytes;
		this.checkedBytes = this.body.length;
		if (this.sender !== undefined && turns.isWaiting(this.sender) && turns.size > 1) {
			// It is rejected at its turn, which bounds how often another one takes its place.
			this.isLate = true;
		} else if (arrivedBytes < minProgressBytes) {
			this.stopLate();
		} else {
			this.timer = setTimeout(this.checkProgress, progressCheckMs);
		}
	};

	private readonly finish = (): void => {
		this.removeListeners();
		this.share.complete();
		const {share} = this;
		this.resolve({
			isRead: true, bytes: this.body.toBytes(), release() {
				share.release();
			},
		});
	};

	private readonly stopClosed = (): void => {
		this.stop(failure(ErrorKind.CallerDisconnectedBeforeSend, {reason: 'the connection was closed before the request body was read'}));
	};

	private readonly stopTooLate = (): void => {
		this.stop(failure(ErrorKind.Stopping, {reason: 'the request body is not read in time'}));
	};

	private stopLate(): void {
		this.stop(failure(ErrorKind.CallerTimeout, {reason: 'the request body did not arrive before the deadline'}));
	}

	private stop(reason: FailedResult): void {
		this.removeListeners();
		this.body.clear();
		this.share.release();
		this.resolve({isRead: false, failure: reason});
	}

	private removeListeners(): void {
		this.isDone = true;
		clearTimeout(this.timer);
		this.options.tooLate.removeEventListener('abort', this.stopTooLate);
		this.req.removeListener('data', this.collect);
		this.req.removeListener('close', this.stopClosed);
		this.req.removeListener('end', this.finish);
		if (this.sender !== undefined) {
			this.options.turns.remove(this.sender);
		}
	}
}
