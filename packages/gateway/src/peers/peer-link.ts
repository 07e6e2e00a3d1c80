import type {Socket} from 'node:net';
import type {Buffer} from 'node:buffer';
import type {Clock} from '@bluebellyard/core';
import {waitForPendingReads} from '../net/index.js';
import {
	FrameReader, FrameWriter, noBytes, type Message,
} from './frames.js';

/** Kinds of messages on a link. */
enum FrameKind {
	Call = 1,
	Reply = 2,
	Cancel = 3,
	Probe = 4,
	ProbeReply = 5,
}

type FrameHead = {
	readonly k: FrameKind;
	/** Number of the call on this link. */
	readonly n?: number;
	/** Name of the called operation. */
	readonly op?: string;
	readonly b?: unknown;
};

/** Silence with calls open after which the other side is probed, in milliseconds: a few round trips on a bad link. */
const probeAfterMs = 250;

/** Silence after which the link is taken for dead, in milliseconds: two lost packets are sent again within it. */
const deadAfterMs = 900;

/** Between two looks at the silence, in milliseconds. */
const watchEveryMs = 100;

/** Thrown when a call did not get its reply. */
export class LinkError extends Error {
	override readonly name = 'LinkError';

	/** `isSent` tells whether the other side may have got the call. */
	constructor(message: string, readonly isSent: boolean) {
		super(message);
	}
}

/** Handles the calls of another instance. `signal` aborts when the caller gave up. */
export type CallHandler = (op: string, message: Message, signal: AbortSignal) => Promise<Message>;

/** When a call is given up. Plain timers, since signals that time out cost more than the rest of a call. */
export type CallOptions = {
	/** Aborts when nobody wants the reply any more. */
	readonly signal?: AbortSignal;
	/** Longest wait for the reply, in milliseconds. */
	readonly timeoutMs?: number;
};

type OpenCall = {
	readonly resolve: (reply: Message) => void;
	readonly reject: (err: LinkError) => void;
};

/** Calls over one connection between two instances, in both directions. */
export class PeerLink {
	private readonly reader = new FrameReader();
	private readonly writer = new FrameWriter();
	private readonly open = new Map<number, OpenCall>();
	private readonly running = new Map<number, AbortController>();
	private nextNumber = 1;
	private heardAt: number;
	private watch: NodeJS.Timeout | undefined;
	private isDown = false;

	constructor(
		private readonly socket: Socket,
		private readonly handler: CallHandler,
		private readonly clock: Clock,
		private readonly onDown: () => void,
	) {
		this.heardAt = clock.now();
		socket.setNoDelay(true);
		socket.on('data', (chunk: Buffer) => {
			this.receive(chunk);
		});
		socket.on('error', () => {
			this.down('connection failed');
		});
		socket.on('close', () => {
			this.down('connection closed');
		});
	}

	/** Compresses messages or not. The side that accepted the connection does as the other one does. */
	setCompressed(isOn: boolean): void {
		this.writer.isCompressed = isOn;
	}

	/** Calls an operation of the other side. Fails with a `LinkError`. */
	async call(op: string, {value, bytes}: Message, {signal, timeoutMs}: CallOptions = {}): Promise<Message> {
		if (this.isDown || signal?.aborted === true) {
			throw new LinkError(this.isDown ? 'connection closed' : 'given up', false);
		}

		const number = this.nextNumber++;
		if (this.open.size === 0) {
			this.heardAt = this.clock.now();
		}

		return new Promise((resolve, reject) => {
			const onAbort = () => {
				if (this.open.delete(number)) {
					release();
					this.write({k: FrameKind.Cancel, n: number});
					reject(new LinkError('given up', true));
				}
			};

			const timer = timeoutMs === undefined ? undefined : setTimeout(onAbort, timeoutMs);
			const release = () => {
				clearTimeout(timer);
				signal?.removeEventListener('abort', onAbort);
			};

			this.open.set(number, {
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
			this.startWatch();
		});
	}

	/** Closes the connection at once. */
	close(): void {
		this.down('closed');
	}

	/** Lets replies that are on their way out and closes. */
	end(): void {
		this.socket.end();
	}

	private receive(chunk: Buffer): void {
		this.heardAt = this.clock.now();
		try {
			for (const message of this.reader.push(chunk)) {
				this.take(message.value as FrameHead, message.bytes);
			}
		} catch (err) {
			this.down(`unreadable frame: ${String(err)}`);
		}
	}

	private take(frame: FrameHead, bytes: Buffer): void {
		const number = frame.n ?? 0;
		switch (frame.k) {
			case FrameKind.Call: {
				void this.run(number, frame.op ?? '', {value: frame.b, bytes});
				break;
			}

			case FrameKind.Reply: {
				const call = this.open.get(number);
				this.open.delete(number);
				call?.resolve({value: frame.b, bytes});
				break;
			}

			case FrameKind.Cancel: {
				this.running.get(number)?.abort();
				break;
			}

			case FrameKind.Probe: {
				this.write({k: FrameKind.ProbeReply});
				break;
			}

			case FrameKind.ProbeReply: {
				break;
			}
		}
	}

	private async run(number: number, op: string, message: Message): Promise<void> {
		const abort = new AbortController();
		this.running.set(number, abort);
		// When the process lags behind, the other side may have given up already.
		await waitForPendingReads();
		try {
			if (abort.signal.aborted) {
				return;
			}

			const {value, bytes} = await this.handler(op, message, abort.signal);
			this.writer.isCompressed = this.reader.isCompressed;
			this.write({k: FrameKind.Reply, n: number, b: value}, bytes);
		} finally {
			this.running.delete(number);
		}
	}

	private write(head: FrameHead, bytes: Buffer = noBytes): void {
		if (!this.isDown) {
			this.socket.write(this.writer.encode({value: head, bytes}));
		}
	}

	private startWatch(): void {
		this.watch ??= setInterval(() => {
			this.checkSilence();
		}, watchEveryMs);
	}

	private checkSilence(): void {
		if (this.open.size === 0) {
			clearInterval(this.watch);
			this.watch = undefined;
			return;
		}

		const silent = this.clock.now() - this.heardAt;
		if (silent > deadAfterMs) {
			this.down('silent');
		} else if (silent > probeAfterMs) {
			this.write({k: FrameKind.Probe});
		}
	}

	private down(reason: string): void {
		if (this.isDown) {
			return;
		}

		this.isDown = true;
		clearInterval(this.watch);
		this.socket.destroy();
		for (const call of this.open.values()) {
			call.reject(new LinkError(reason, true));
		}

		this.open.clear();
		for (const abort of this.running.values()) {
			abort.abort();
		}

		this.onDown();
	}
}

/** Whether an error of a call to another instance proves that the call did not arrive. */
export function isUnsent(err: unknown): boolean {
	return err instanceof LinkError && !err.isSent;
}
