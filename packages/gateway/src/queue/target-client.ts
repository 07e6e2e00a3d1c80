/**
 * Sends single requests to targets and judges their answers.
 */
import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {AttemptOutcome, type Clock} from '@bluebellyard/core';
import type {HeaderList, TargetHeaders, Wire} from '../ports/index.js';
import {TrackedClient, type ConnectionState} from './tracked-client.js';

/** Largest answer, in bytes. */
const maxAnswerBytes = 64 * 1024 * 1024;

/** One request for a target. */
export type TargetRequest = {
	readonly addr: string;
	/** Name that the target must have. */
	readonly target: string;
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly headers: HeaderList;
	readonly body: Buffer;
	readonly timeLeftMs: number;
	/** Whether it must run at most once; such a request goes on a new connection, or on one that answered a moment ago. */
	readonly isOnce: boolean;
	/** Connections that may be kept to this target. */
	readonly connections: number;
	readonly signal: AbortSignal;
};

/** What became of it. */
export type TargetResult = {
	readonly outcome: AttemptOutcome;
	/** Whether it has surely not run. */
	readonly isNotRun: boolean;
	/** Present with `LaneEnding.Answered`, `Full` and `NotRun`. */
	readonly status: number;
	readonly headers: HeaderList;
	readonly body: Buffer;
	readonly isFramed: boolean;
	readonly meta: TargetHeaders | undefined;
	readonly reason: string;
};

/** Rest of a connection up to which once-only work may go on it, in milliseconds: targets forget none so soon. */
const provenMs = 50;

/** Status with which targets refuse requests that are meant for another one, or for keys that they do not hold. */
const misdirected = 421;

/** Status of an answer that promises that a request did not run. */
const promises = new Set([408, 421, 429, 503]);

type Resting = {
	readonly client: TrackedClient;
	/** When its last answer ended. */
	readonly since: number;
};

/** Connections to all targets. */
export class TargetClient {
	private readonly wire: Wire;
	private readonly clock: Clock;
	/** Connections at rest by address; the one that answered last comes last. */
	private readonly idle = new Map<string, Resting[]>();
	private opened = 0;

	constructor(wire: Wire, clock: Clock) {
		this.wire = wire;
		this.clock = clock;
	}

	/** Connections opened so far. */
	get connectionsOpened(): number {
		return this.opened;
	}

	/** Sends a request and waits for its whole answer; never rejects. */
	async send(req: TargetRequest): Promise<TargetResult> {
		const client = this.take(req);
		const exchange = new Exchange(req, this.wire, client.connection);
		client.dispatch({
			method: req.method,
			path: req.path,
			headers: this.wire.toTarget(req.headers, {requestId: req.requestId, timeLeftMs: req.timeLeftMs, target: req.target}),
			body: req.body.length === 0 ? null : req.body,
		}, exchange);
		const outcome = await exchange.result;
		this.giveBack(req, client, outcome);
		return outcome;
	}

	/** Closes everything at once. */
	async close(): Promise<void> {
		const clients = [...this.idle.values()].flat();
		this.idle.clear();
		await Promise.all(clients.map(async ({client}) => client.destroy()));
	}

	/** A connection that was used a moment ago, or a new one. */
	private take(req: TargetRequest): TrackedClient {
		const resting = this.idle.get(req.addr);
		const last = resting?.at(-1);
		if (last !== undefined && (!req.isOnce || this.clock.now() - last.since <= provenMs)) {
			resting?.pop();
			return last.client;
		}

		return new TrackedClient(`http://${req.addr}`, () => {
			this.opened += 1;
		});
	}

	private giveBack(req: TargetRequest, client: TrackedClient, {outcome: ending}: TargetResult): void {
		const idle = this.idle.get(req.addr) ?? [];
		const isUsable = ending === AttemptOutcome.Answered || ending === AttemptOutcome.Full || ending === AttemptOutcome.NotRun;
		if (!isUsable || idle.length >= req.connections) {
			client.destroy().catch(() => undefined);
			return;
		}

		idle.push({client, since: this.clock.now()});
		this.idle.set(req.addr, idle);
	}
}

/** One request under way. */
class Exchange implements Dispatcher.DispatchHandler {
	readonly result: Promise<TargetResult>;
	private readonly resolve: (outcome: TargetResult) => void;
	private controller: Dispatcher.DispatchController | undefined;
	private isDone = false;
	private isWritten = false;
	private status = 0;
	private headers: HeaderList = [];
	private meta: TargetHeaders | undefined;
	private readonly chunks: Buffer[] = [];
	private size = 0;
	private readonly timer: NodeJS.Timeout;
	private readonly onAbort: () => void;

	constructor(private readonly req: TargetRequest, private readonly wire: Wire, private readonly connection: ConnectionState) {
		let resolve: (outcome: TargetResult) => void = () => undefined;
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
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.controller = controller;
		if (this.isDone) {
			controller.abort(new Error('given up'));
			return;
		}

		this.isWritten = true;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
		if (status < 200) {
			return;
		}

		this.status = status;
		this.headers = toList(headers);
		this.meta = this.wire.readTarget(headers);
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
		this.size += chunk.length;
		if (this.size > maxAnswerBytes) {
			this.fail(AttemptOutcome.Broken, 'the answer is too large');
			return;
		}

		this.chunks.push(chunk);
	}

	onResponseEnd(): void {
		if (!this.isFramed() && this.connection.hasFailed) {
			this.finish(this.empty(AttemptOutcome.Broken, 'the connection was reset in the middle of an answer'));
			return;
		}

		this.finish(this.judge());
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, err: Error): void {
		const ending = this.isWritten ? AttemptOutcome.Broken : AttemptOutcome.Unreachable;
		this.finish({...this.empty(ending, err.message), isNotRun: !this.isWritten});
	}

	private isFramed(): boolean {
		return this.headers.some(([name]) => name === 'content-length' || name === 'transfer-encoding');
	}

	private judge(): TargetResult {
		const {meta, status, headers} = this;
		const whole = {
			status, headers, body: this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks), isFramed: this.isFramed(), meta,
		};
		if (meta?.isNotRun === true || status === misdirected) {
			const ending = status === misdirected ? AttemptOutcome.NotRun : AttemptOutcome.Full;
			return {
				...whole, outcome: ending, isNotRun: true, reason: `target answered ${status}, not run`,
			};
		}

		if (meta?.requestId !== this.req.requestId) {
			this.controller?.abort(new Error('answer of another request'));
			return this.empty(AttemptOutcome.Broken, 'answer of another request');
		}

		if (status < 300 && !meta.isSealed) {
			return this.empty(AttemptOutcome.Broken, 'answer without a seal');
		}

		if (promises.has(status)) {
			return this.empty(AttemptOutcome.Broken, `target answered ${status} without saying that it did not run`);
		}

		return {
			...whole, outcome: AttemptOutcome.Answered, isNotRun: false, reason: '',
		};
	}

	private fail(ending: AttemptOutcome, reason: string): void {
		const isNotRun = !this.isWritten;
		this.finish({...this.empty(ending, reason), isNotRun});
		if (this.isWritten) {
			// A reset drops what is still on its way, and tells the target to stop.
			this.connection.socket?.resetAndDestroy();
		}

		this.controller?.abort(new Error(reason));
	}

	private empty(ending: AttemptOutcome, reason: string): TargetResult {
		return {
			outcome: ending, isNotRun: false, status: 0, headers: [], body: Buffer.alloc(0), isFramed: true, meta: this.meta, reason,
		};
	}

	private finish(outcome: TargetResult): void {
		if (this.isDone) {
			return;
		}

		this.isDone = true;
		clearTimeout(this.timer);
		this.req.signal.removeEventListener('abort', this.onAbort);
		this.resolve(outcome);
	}
}

function toList(headers: Record<string, string | string[] | undefined>): HeaderList {
	return Object.entries(headers).flatMap(([name, value]) => {
		if (value === undefined) {
			return [];
		}

		return Array.isArray(value) ? value.map(one => [name, one] as const) : [[name, value] as const];
	});
}
