import type {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {
	answerSlackMs, MemoryBudget, ErrorKind, priorityOf, Repeat, type Clock, type HostRoute, type StopSchedule,
} from '@bluebellyard/core';
import {findPassedOnLength} from '@bluebellyard/http-client';
import {
	failure, hasReturned, type Dispatcher, type OrderResult,
} from '../dispatch/index.js';
import type {CallerHeaders, Wire} from '../ports/index.js';
import type {TeamAdmission} from '../teams/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {View} from '../view/index.js';
import {Cancellation, listen, waitForPendingReads} from '../net/index.js';
import {CallerConnections, type ConnectionUse} from './caller-connections.js';
import {ChunkTurns} from './chunk-turns.js';
import {holdAnswer} from './hold-answer.js';
import {OpenRequests, RequestPhase, type OpenRequest} from './open-requests.js';
import {OrderBuilder, toTimeout, type AcceptedRequest} from './order-builder.js';
import type {OverloadCheck} from './overload-check.js';
import {memoryRetryMs, readBody} from './read-body.js';
import {recordOutcome, type Outcome} from './record-outcome.js';
import {hasSmallBody, sendFailure} from './refusal.js';

/** Interval between checks for heads that arrive too slowly, in milliseconds. */
const headCheckMs = 500;

/** Time for which idle connections are kept beyond the limit announced to callers, in milliseconds. */
const idleSlackMs = 1000;

/** Longest time for which the result of a request that is given up is waited for, in milliseconds; shorter than the time for the last answers. */
const giveUpMs = 50;

/** Retry delay reported while this instance has no configuration, in milliseconds. */
const startingRetryMs = 400;

/** Interval at which a stop rejects requests that have become too late, and closes connections that have become idle, in milliseconds. */
const stopIntervalMs = 50;

/** Options of the server. */
export type CallerServerOptions = {
	readonly view: View;
	readonly wire: Wire;
	readonly dispatcher: Pick<Dispatcher, 'run'>;
	readonly admission: Pick<TeamAdmission, 'decide' | 'settle'>;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Admission check of this instance; undefined if it is off. */
	readonly overload?: Pick<OverloadCheck, 'check'> | undefined;
	/** Limits what is held for callers at once; unlimited if undefined. */
	readonly budget?: MemoryBudget | undefined;
	/** Largest number of open connections; unlimited if undefined. */
	readonly maxConnections?: number;
	/** The time that is left to the process; undefined if it is not limited. */
	readonly stop?: Pick<StopSchedule, 'canAnswer' | 'limitDeadline'>;
	/** Called with the key of each request for a sharded service. */
	readonly onKeyedRequest: (service: string, key: number, route: HostRoute) => void;
};

/** HTTP server for the requests of callers. */
export class CallerServer {
	private readonly server: Server;
	private readonly orders: OrderBuilder;
	private readonly budget: MemoryBudget;
	private isStopping = false;
	private readonly requests = new OpenRequests();
	private readonly connections: CallerConnections;
	private stopTimer: NodeJS.Timeout | undefined;
	private isClosingIdle = false;
	private readonly turns = new ChunkTurns();
	private headTimer: NodeJS.Timeout | undefined;

	constructor(private readonly options: CallerServerOptions) {
		this.orders = new OrderBuilder(options);
		this.budget = options.budget ?? new MemoryBudget(Number.POSITIVE_INFINITY);
		this.connections = new CallerConnections({
			clock: options.clock, budget: this.budget, maxConnections: options.maxConnections ?? Number.POSITIVE_INFINITY,
		});
		// The server checks its own timeouts rarely, and closes connections by them on which requests wait to be read.
		this.server = createServer({
			headersTimeout: 0, requestTimeout: 0, keepAlive: true, noDelay: true,
		}, (req, res) => {
			this.receive(req, res);
		});
		this.server.on('checkContinue', (req, res) => {
			this.receive(req, res, true);
		});
		this.server.on('connection', socket => {
			this.connections.add(socket);
		});
		// Without a listener, the server closes a connection at its idle timeout although a request may wait to be read.
		this.server.on('timeout', (socket: Socket) => {
			void this.connections.closeIfSilent(socket);
		});
		this.updateLimits();
		options.view.onChange(() => {
			this.updateLimits();
		});
	}

	/** Number of requests whose answers are not written yet; a caller that reads slowly keeps its answer in this process. */
	get inFlight(): number {
		return this.requests.size;
	}

	/** Number of open connections. */
	get connectionCount(): number {
		return this.connections.size;
	}

	/** Returns the number of connections by use. */
	countConnections(): Record<ConnectionUse, number> {
		return this.connections.count();
	}

	/** Starts to listen. Resolves to the port. */
	async start(host: string, port: number): Promise<number> {
		this.headTimer = setInterval(() => {
			void this.connections.closeLateHeads(this.options.view.limits.headerTimeoutMs + idleSlackMs);
		}, headCheckMs);
		return listen(this.server, host, port);
	}

	/** From now on closes the connection with each answer, so that callers connect to other instances, and rejects requests that can't be answered before the process ends. */
	beginStop(): void {
		this.isStopping = true;
		this.requests.rejectLate();
		this.stopTimer ??= setInterval(() => {
			this.requests.rejectLate();
			if (this.isClosingIdle) {
				void this.closeIdleConnections();
			}
		}, stopIntervalMs);
	}

	/** Stops accepting connections, and from now on closes idle ones. Begins the stop if that was not done. */
	async closeIdle(): Promise<void> {
		this.beginStop();
		await this.connections.acceptPending();
		// The method of the HTTP server also closes connections whose answer is complete but not written.
		NetServer.prototype.close.call(this.server);
		this.connections.closeIdle();
		this.isClosingIdle = true;
	}

	/** Answers all requests that are not answered yet: with 503 if they were not run, else with 502. */
	giveUp(): void {
		this.requests.giveUp();
	}

	/** Logs the requests that are not answered yet. */
	logOpenRequests(msg: string): void {
		const {clock, telemetry} = this.options;
		for (const {id, route, phase, arrivedAt} of this.requests.list()) {
			telemetry.logRequest(msg, {
				id, route, phase, ageMs: Math.round(clock.now() - arrivedAt),
			});
		}
	}

	/** Closes all connections immediately. */
	close(): void {
		clearInterval(this.stopTimer);
		clearInterval(this.headTimer);
		this.server.close();
		this.server.closeAllConnections();
	}

	private async closeIdleConnections(): Promise<void> {
		await waitForPendingReads();
		this.connections.closeIdle();
	}

	private updateLimits(): void {
		const {idleTimeoutMs, headerBytes} = this.options.view.limits;
		// New connections take it from the server.
		Object.assign(this.server, {maxHeaderSize: headerBytes});
		this.server.keepAliveTimeout = idleTimeoutMs + idleSlackMs;
		// Replaces the idle timeout, which has a slack of its own, when bytes arrive that begin no request.
		this.server.timeout = idleTimeoutMs + (2 * idleSlackMs);
	}

	private receive(req: IncomingMessage, res: ServerResponse, expectsContinue = false): void {
		const arrivedAt = this.options.clock.now();
		this.connections.startInTurn(req.socket, () => {
			if (expectsContinue) {
				res.writeContinue();
			}

			void this.serve(req, res, arrivedAt);
		});
	}

	private async serve(req: IncomingMessage, res: ServerResponse, arrivedAt: number): Promise<void> {
		const {clock, wire, telemetry} = this.options;
		const abort = new Cancellation();
		const abortUnfinished = () => {
			if (!res.writableFinished) {
				abort.abort();
			}
		};

		const {socket} = req;
		const headers = wire.readCaller(req.headers);
		const open = this.requests.add(res, headers.requestId, arrivedAt);
		req.once('end', () => {
			this.connections.recordRest(socket);
		});
		res.once('close', () => {
			this.connections.recordAnswer(socket);
			abortUnfinished();
		});
		// A caller that closed its side of the connection has left, although the answer could still be written.
		socket.once('end', abortUnfinished);
		try {
			const outcome = await this.answer(req, headers, open, abort);
			open.phase = RequestPhase.Writing;
			this.send(res, req, outcome.result);
			recordOutcome(telemetry, outcome, {headers, tookMs: clock.now() - arrivedAt, version: this.options.view.configVersion});
		} catch (err) {
			telemetry.error('front', 'Request failed inside the gateway.', {id: headers.requestId, err});
			sendFailure(req, res, failure(ErrorKind.Internal, {isNotRun: false}));
		} finally {
			socket.removeListener('end', abortUnfinished);
		}
	}

	private async answer(req: IncomingMessage, headers: CallerHeaders, open: OpenRequest, abort: Cancellation): Promise<Outcome> {
		const {view, admission, clock} = this.options;
		if (view.configVersion === undefined) {
			return {result: failure(ErrorKind.NotReady, {retryAfterMs: startingRetryMs, reason: 'no configuration yet'})};
		}

		const route = view.routes.match(req.headers.host ?? '', req.url ?? '/');
		if (route === undefined) {
			return {result: failure(ErrorKind.NoRoute, {reason: `version ${view.configVersion}`})};
		}

		open.route = route.name;
		const admitted = admission.decide(route, headers.apiKey, clock.now());
		const {team} = admitted;
		if (!admitted.isAdmitted) {
			return {route, team, result: admitted.result};
		}

		open.isTooLate = () => !this.canAnswer(route, headers, open);
		const rejection = this.rejectTooLate(open) ?? this.rejectWithoutMemory() ?? this.options.overload?.check(route, priorityOf(route, team), headers.callerTimeoutMs);
		const outcome = rejection ?? await this.run(req, {
			headers, route, admitted, open,
		}, abort);
		admission.settle(admitted, outcome.result);
		return {...outcome, route, team};
	}

	/** Reads the body of a request and runs it. */
	private async run(req: IncomingMessage, accepted: AcceptedRequest, abort: Cancellation): Promise<Outcome> {
		const {view} = this.options;
		const {signal} = abort;
		const {route, headers, open} = accepted;
		const body = await readBody(req, {
			maxBytes: view.limits.bodyBytes,
			timeoutMs: open.arrivedAt + toTimeout(route, headers) - this.options.clock.now(),
			budget: this.budget,
			tooLate: open.tooLate,
			turns: this.turns,
			pause: this.connections.findPause(req.socket),
		});
		if (!body.isRead) {
			return {result: signal.aborted ? failure(ErrorKind.CallerDisconnectedBeforeSend, {reason: 'the caller left before its request was read'}) : body.failure};
		}

		try {
			return await this.dispatch(req, {...accepted, body: body.bytes}, abort);
		} finally {
			body.release();
		}
	}

	private async dispatch(req: IncomingMessage, accepted: AcceptedRequest & {readonly body: Buffer}, abort: Cancellation): Promise<Outcome> {
		const {dispatcher, clock} = this.options;
		const {signal} = abort;
		// If the event loop lags, callers may have left before their request was read.
		await waitForPendingReads();
		if (signal.aborted) {
			return {result: failure(ErrorKind.CallerDisconnectedBeforeSend, {reason: 'the caller left before its request was read'})};
		}

		const rejection = this.rejectTooLate(accepted.open);
		if (rejection !== undefined) {
			return rejection;
		}

		const order = this.orders.build(req, accepted);
		accepted.open.phase = RequestPhase.Dispatched;
		const result = await new Promise<OrderResult>(resolve => {
			const timer = setTimeout(() => {
				resolve(failure(ErrorKind.TargetTimeout, {isNotRun: false, reason: 'no result at the deadline'}));
				abort.abort();
			}, Math.max(1, order.deadline - clock.now() + answerSlackMs));
			let isGivenUp = false;
			accepted.open.giveUp = () => {
				isGivenUp = true;
				setTimeout(() => {
					resolve(toStopped(failure(ErrorKind.CallerDisconnected, {isNotRun: false})));
				}, giveUpMs);
				abort.abort();
			};

			void dispatcher.run(order, accepted.route.maxTargets, signal).then(outcome => {
				clearTimeout(timer);
				resolve(isGivenUp ? toStopped(outcome) : outcome);
			});
		});
		return {result, hasReturned: hasReturned(order)};
	}

	private rejectTooLate({isTooLate}: OpenRequest): Outcome | undefined {
		return isTooLate?.() === true ? {result: failure(ErrorKind.Stopping, {reason: 'the process ends before the request can be answered'})} : undefined;
	}

	private rejectWithoutMemory(): Outcome | undefined {
		return this.budget.isFull
			? {result: failure(ErrorKind.InstanceBusy, {retryAfterMs: memoryRetryMs, reason: 'what is held for other requests takes too much memory'})}
			: undefined;
	}

	private canAnswer(route: HostRoute, headers: CallerHeaders, {arrivedAt}: OpenRequest): boolean {
		return this.options.stop?.canAnswer({
			route: route.name, objectiveMs: route.objectiveMs, deadline: arrivedAt + toTimeout(route, headers), isOnce: route.repeat === Repeat.Once,
		}) ?? true;
	}

	/**
	 * Returns the header by which the caller knows how long it may use the connection. Node.js would announce the timeout
	 * at the arrival of the request, which may have been shortened since.
	 */
	private connectionHeader(isLast: boolean): readonly [string, string] {
		return isLast ? ['connection', 'close'] : ['keep-alive', `timeout=${Math.floor(this.options.view.limits.idleTimeoutMs / 1000)}`];
	}

	private send(res: ServerResponse, req: IncomingMessage, result: OrderResult): void {
		const isLast = this.isStopping || (!req.complete && !(isOverload(result) && hasSmallBody(req)));
		if (result.kind === 'failure') {
			if (result.error === ErrorKind.UnknownKey) {
				for (const [name, value] of this.options.wire.toChallenge()) {
					res.setHeader(name, value);
				}
			}

			res.setHeader(...this.connectionHeader(isLast));
			sendFailure(req, res, result, isLast);
			return;
		}

		const {status, headers, body, framing} = result.answer;
		holdAnswer(res, body.length, this.budget);
		const statedLength = headers.find(([name]) => name.toLowerCase() === 'content-length')?.[1];
		const length = findPassedOnLength({
			status, framing, bytes: body.length, statedLength,
		});
		const lines = [...this.connectionHeader(isLast)];
		for (const [name, value] of this.options.wire.toCaller(headers)) {
			lines.push(name, value);
		}

		if (length !== undefined) {
			lines.push('content-length', length);
		}

		// Headers that are set one by one before are copied and looked up several times.
		res.writeHead(status, lines);
		res.end(body);
	}
}

/** Returns the result of an order that was given up at the end of a stop. */
function toStopped(result: OrderResult): OrderResult {
	if (result.kind === 'answer') {
		return result;
	}

	return {...result, error: ErrorKind.Stopping, reason: 'the process ends before the target has answered'};
}

function isOverload(result: OrderResult): boolean {
	return result.kind === 'failure' && result.error === ErrorKind.InstanceBusy;
}
