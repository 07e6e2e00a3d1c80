import type {Socket} from 'node:net';
import {
	buildConnector, Client, Pool, type Dispatcher,
} from 'undici';
import type {TrackedOptions} from './answer-handler.js';
import {ConnectionState} from './connection-state.js';

/** Options of a client. */
export type TrackedClientOptions = Omit<Client.Options, 'pipelining'> & {
	/** Called when a connection was opened. */
	readonly onConnect?: () => void;
	/** Returns the monotonic time in milliseconds. */
	readonly now?: () => number;
};

/**
 * Client with one connection at a time that observes how the connection ends: the parser of `undici` takes any end for
 * that of an answer without a length. Requests of an `AnswerHandler` get to know the connection.
 */
export class TrackedClient extends Client {
	private state: ConnectionState | undefined;
	private readonly connector: buildConnector.connector;
	private connectOptions: buildConnector.Options | undefined;

	constructor(origin: string | URL, {onConnect, now = () => performance.now(), connect, ...options}: TrackedClientOptions) {
		const connector = typeof connect === 'function' ? connect : buildConnector(connect ?? {});
		super(origin, {
			...options,
			connect: (connectOptions, callback) => {
				this.connectOptions = connectOptions;
				connector(connectOptions, (...args) => {
					const [, socket] = args;
					if (socket !== null && socket !== undefined) {
						this.state = new ConnectionState(socket, now());
						onConnect?.();
					}

					callback(...args);
				});
			},
			pipelining: 1,
		});
		this.connector = connector;
	}

	/** State of the present connection, or of the last one. */
	get connection(): ConnectionState | undefined {
		return this.state;
	}

	override dispatch(options: TrackedOptions, handler: Dispatcher.DispatchHandler): boolean {
		const {answerHandler} = options;
		answerHandler?.observe(this);
		if (answerHandler !== undefined && answerHandler.requestId !== '' && this.state?.requestIds.has(answerHandler.requestId) === true) {
			// A second answer to the former attempt would name the same request.
			this.closeConnection();
		}

		return super.dispatch(options, handler);
	}

	/** A connection that is not opened in time, or fails in another way than by a refusal, says nothing: the other side may have no room for it. */
	async refusesConnections(): Promise<boolean> {
		return new Promise(resolve => {
			if (this.connectOptions === undefined) {
				resolve(true);
				return;
			}

			this.connector(this.connectOptions, (err: NodeJS.ErrnoException | null, socket) => {
				socket?.on('error', () => undefined).destroy();
				resolve(err?.code === 'ECONNREFUSED');
			});
		});
	}

	/** Closes the idle connection, if it is open. The next request opens another one. */
	closeConnection(): void {
		this.socket?.destroy();
	}

	private get socket(): Socket | undefined {
		return this.state?.socket;
	}
}

/** Creates a pool of such clients. */
export function createTrackedPool(origin: string | URL, options: Omit<Pool.Options, 'factory' | 'pipelining'>): Pool {
	return new Pool(origin, {
		...options,
		factory: (clientOrigin, clientOptions) => new TrackedClient(clientOrigin, clientOptions),
	});
}
