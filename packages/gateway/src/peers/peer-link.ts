import type {Socket} from 'node:net';
import type {Buffer} from 'node:buffer';
import type {BudgetShare, MemoryBudget} from '@bluebellyard/core';
import {Cancellation, waitForPendingReads} from '../net/index.js';
import {
	FrameReader, FrameWriter, noBytes, type Message,
} from './frames.js';
import type {CallHandler, CallOptions, LinkState} from './call-handler.js';
import {FrameKind, type FrameHead} from './frame-head.js';
import {LinkError} from './link-error.js';
import {checkIntervalMs, type CheckedLink, type SilenceChecks} from './silence-checks.js';

/** Time without received data, while calls are open, after which the other side is probed, in milliseconds; a few round trips on a bad link. */
const probeAfterMs = 250;

/** Time without received data after which the link is closed, in milliseconds; two lost packets are retransmitted within it. */
const closeAfterMs = 900;

type OpenCall = {
	readonly resolve: (reply: Message) => void;
	readonly reject: (err: LinkError) => void;
};

/** Options of a link. */
export type PeerLinkOptions = {
	/** What is received and not complete, or not sent yet, counts towards it. */
	readonly budget: MemoryBudget;
	/** Called when the other side runs no further calls. */
	readonly onStop?: (link: PeerLink) => void;
	/** Called once when the link is lost. */
	readonly onDown: (link: PeerLink) => void;
	/** Asks the other side for the number of the last call that it received on the lost link; undefined if it does not know. It receives none afterwards. */
	readonly countReceived?: () => Promise<number | undefined>;
};

/** One connection between two instances, which carries calls in both directions. */
export class PeerLink implements LinkState, CheckedLink {
	private readonly reader = new FrameReader();
	private readonly writer = new FrameWriter();
	private readonly openCalls = new Map<number, OpenCall>();
	private readonly runningCalls = new Map<number, Cancellation>();
	private readonly downListeners = new Set<() => void>();
	private nextNumber = 1;
	private receivedAt: number;
	/** When received data was last checked for. */
	private checkedAt = 0;
	/** Whether received data is checked for. */
	private isChecked = false;
	private isDown = false;
	/** Whether this side runs no further calls. */
	private isStopped = false;
	/** Whether the other side runs no further calls. */
	private isOtherStopped = false;
	/** Name that the other side gave the link; undefined if this side opened it. */
	private givenName: string | undefined;
	private lastNumber = 0;
	private readonly receivedShare: BudgetShare;
	private readonly unsentShare: BudgetShare;

	constructor(
		private readonly socket: Socket,
		private readonly handler: CallHandler,
		private readonly checks: SilenceChecks,
		private readonly options: PeerLinkOptions,
	) {
		this.receivedAt = checks.clock.now();
		this.receivedShare = options.budget.open(() => {
			if (!this.reader.dropBody()) {
				this.shutDown('no memory for what was received');
			}
		});
		this.unsentShare = options.budget.open(() => undefined);
		this.unsentShare.complete();
		socket.setNoDelay(true);
		socket.on('data', (chunk: Buffer) => {
			this.receive(chunk);
		});
		socket.on('error', () => {
			this.shutDown('connection failed');
		});
		socket.on('close', () => {
			this.shutDown('connection closed');
		});
	}

	/** Name that the other side gave the link; undefined before. */
	get name(): string | undefined {
		return this.givenName;
	}

	/** Number of the last call received; 0 before. */
	get lastReceived(): number {
		return this.lastNumber;
	}

	/** Whether calls of the other side run here, or replies are not written yet. */
	get hasReplies(): boolean {
		return this.runningCalls.size > 0 || this.socket.writableLength > 0;
	}

	/** Names the link to the other side. */
	sendName(name: string): void {
		this.write({k: FrameKind.Hello, b: name});
	}

	/** Sets whether sent messages are compressed. The side that accepted the connection follows the other one. */
	setCompressed(isOn: boolean): void {
		this.writer.isCompressed = isOn;
	}

	/** Calls an operation of the other side. Rejects with a `LinkError`. */
	async call(op: string, {value, bytes}: Message, {signal, timeoutMs}: CallOptions = {}): Promise<Message> {
		const isClosed = this.isDown || this.isOtherStopped || this.socket.writableEnded;
		if (isClosed || signal?.aborted === true) {
			throw new LinkError(isClosed ? 'connection closed' : 'call cancelled', false);
		}

		const number = this.nextNumber++;
		if (this.openCalls.size === 0) {
			this.receivedAt = this.checks.clock.now();
		}

		return new Promise((resolve, reject) => {
			const onAbort = () => {
				if (this.openCalls.delete(number)) {
					release();
					this.write({k: FrameKind.Cancel, n: number});
					reject(new LinkError('call cancelled or timed out', true));
				}
			};

			const timer = timeoutMs === undefined ? undefined : setTimeout(onAbort, timeoutMs);
			const release = () => {
				clearTimeout(timer);
				signal?.removeEventListener('abort', onAbort);
			};

			this.openCalls.set(number, {
				resolve(reply) {
					release();
					resolve(reply);
				},
				reject(err) {
					release();
					reject(err);
				},
			});
			signal?.addEventListener('abort', onAbort, {once: true});
			this.write({
				k: FrameKind.Call, n: number, op, b: value,
			}, bytes);
			this.startChecks();
		});
	}

	whenDown(listener: () => void): () => void {
		if (this.isDown) {
			listener();
			return () => undefined;
		}

		this.downListeners.add(listener);
		return () => {
			this.downListeners.delete(listener);
		};
	}

	/** Closes the connection immediately. Open calls are rejected. */
	close(): void {
		this.shutDown('closed');
	}

	/** Runs no further calls, and closes the connection when the running ones are answered and all replies are written. */
	stop(): void {
		if (this.isStopped || this.isDown) {
			return;
		}

		this.isStopped = true;
		this.write({k: FrameKind.Stop, n: this.lastNumber});
		this.endIfAnswered();
	}

	/** Probes the other side, or closes the connection, if nothing was received for too long while calls are open. Returns whether calls are open. */
	checkSilence(): boolean {
		if (this.openCalls.size === 0) {
			this.isChecked = false;
			return false;
		}

		const now = this.checks.clock.now();
		// What arrived while the event loop was blocked is read after the timers have run, so that this time is no silence.
		const blockedMs = Math.max(0, now - this.checkedAt - checkIntervalMs);
		this.checkedAt = now;
		this.receivedAt = Math.min(now, this.receivedAt + blockedMs);
		const silentMs = now - this.receivedAt;
		if (silentMs > closeAfterMs) {
			this.shutDown('no data received');
		} else if (silentMs > probeAfterMs) {
			this.write({k: FrameKind.Probe});
		}

		return this.openCalls.size > 0;
	}

	private receive(chunk: Buffer): void {
		this.receivedAt = this.checks.clock.now();
		try {
			for (const message of this.reader.push(chunk)) {
				if (this.isDown) {
					return;
				}

				this.handleMessage(message);
			}

			this.receivedShare.update(this.reader.heldBytes);
		} catch (err) {
			this.shutDown(`invalid frame: ${String(err)}`);
		}
	}

	private handleMessage({value, bytes, isDropped = false}: Message): void {
		const frame = value as FrameHead;
		if (!isDropped) {
			this.handleFrame(frame, bytes);
			return;
		}

		const number = frame.n ?? 0;
		if (frame.k === FrameKind.Call) {
			this.lastNumber = Math.max(this.lastNumber, number);
			this.write({k: FrameKind.Reject, n: number});
		} else {
			this.rejectCall(number, new LinkError('no memory for the reply', true));
		}
	}

	private rejectCall(number: number, err: LinkError): void {
		const call = this.openCalls.get(number);
		this.openCalls.delete(number);
		call?.reject(err);
	}

	private handleFrame(frame: FrameHead, bytes: Buffer): void {
		const number = frame.n ?? 0;
		switch (frame.k) {
			case FrameKind.Call: {
				if (this.isStopped) {
					break;
				}

				this.lastNumber = number;
				void this.run(number, frame.op ?? '', {value: frame.b, bytes});
				break;
			}

			case FrameKind.Reply: {
				const call = this.openCalls.get(number);
				this.openCalls.delete(number);
				call?.resolve({value: frame.b, bytes});
				break;
			}

			case FrameKind.Cancel: {
				this.runningCalls.get(number)?.abort();
				break;
			}

			case FrameKind.Probe: {
				this.write({k: FrameKind.ProbeReply});
				break;
			}

			case FrameKind.ProbeReply: {
				break;
			}

			case FrameKind.Hello: {
				this.givenName = String(frame.b);
				break;
			}

			case FrameKind.Stop: {
				this.handleStop(number);
				break;
			}

			case FrameKind.Reject: {
				this.rejectCall(number, new LinkError('the other side has no memory for the call', false));
				break;
			}
		}
	}

	private async run(number: number, op: string, message: Message): Promise<void> {
		const abort = new Cancellation();
		this.runningCalls.set(number, abort);
		const share = this.options.budget.open(() => undefined);
		share.complete();
		share.update(message.bytes.length);
		// If the event loop lags, the other side may have cancelled the call already.
		await waitForPendingReads();
		try {
			if (abort.signal.aborted) {
				return;
			}

			const {value, bytes} = await this.handler(op, message, abort.signal, this);
			this.writer.isCompressed = this.reader.isCompressed;
			this.write({k: FrameKind.Reply, n: number, b: value}, bytes);
		} finally {
			share.release();
			this.runningCalls.delete(number);
			this.endIfAnswered();
		}
	}

	private endIfAnswered(): void {
		if (this.isStopped && this.runningCalls.size === 0) {
			// What the other side still sends is read: a connection that is closed with unread data is reset, and the replies are lost.
			this.socket.end();
		}
	}

	/** Rejects the calls that the other side does not run. */
	private handleStop(lastNumber: number): void {
		this.isOtherStopped = true;
		for (const [number, call] of this.openCalls) {
			if (number > lastNumber) {
				this.openCalls.delete(number);
				call.reject(new LinkError('the other side stops', false));
			}
		}

		this.options.onStop?.(this);
	}

	private write(head: FrameHead, bytes: Buffer = noBytes): void {
		// A write after the end destroys the connection with the replies that are not sent yet.
		if (!this.isDown && !this.socket.writableEnded) {
			this.socket.cork();
			for (const part of this.writer.encode({value: head, bytes})) {
				this.socket.write(part, this.countUnsent);
			}

			this.socket.uncork();
			this.countUnsent();
		}
	}

	private readonly countUnsent = (): void => {
		this.unsentShare.update(this.isDown ? 0 : this.socket.writableLength);
	};

	private startChecks(): void {
		if (!this.isChecked) {
			this.isChecked = true;
			this.checkedAt = this.checks.clock.now();
			this.checks.add(this);
		}
	}

	private shutDown(reason: string): void {
		if (this.isDown) {
			return;
		}

		this.isDown = true;
		this.socket.destroy();
		this.receivedShare.release();
		this.unsentShare.release();
		const {countReceived} = this.options;
		for (const [number, call] of this.openCalls) {
			call.reject(new LinkError(reason, true, countReceived && (async () => {
				const received = await countReceived();
				return received === undefined || received >= number;
			})));
		}

		this.openCalls.clear();
		for (const abort of this.runningCalls.values()) {
			abort.abort();
		}

		for (const listener of this.downListeners) {
			listener();
		}

		this.downListeners.clear();
		this.options.onDown(this);
	}
}
