import type {Socket} from 'node:net';
import {buildConnector, Client} from 'undici';

/** Timeout for opening a connection to a target, in milliseconds; it does not wait for the retransmission of a lost first packet. */
const connectTimeoutMs = 350;

/** Time for which an idle connection is kept if the target announces none, in milliseconds. */
const keepAliveMs = 4000;

/** Longest time for which an idle connection is kept, in milliseconds; targets may close it earlier than they announce. */
const maxKeepAliveMs = 8000;

/** Largest header block of an answer, in bytes. */
const maxHeaderBytes = 65_536;

const connector = buildConnector({timeout: connectTimeoutMs});

/** State of the connection that carries a request. */
export type ConnectionState = {
	socket: Socket | undefined;
	/** Whether the connection ended with an error rather than an orderly close. */
	hasFailed: boolean;
	/** When it was opened, in monotonic milliseconds; set by the owner of the client. */
	connectedAt: number;
	/** Number of requests that were written to it. */
	sentRequests: number;
	/** Ids of the requests that the target rejected on it, which may be sent again. */
	readonly rejectedIds: Set<string>;
};

/**
 * Client with one connection that records whether the connection was reset.
 * An answer without a length is complete only if its connection was closed in
 * an orderly way, but the parser of `undici` treats a reset as the end of such
 * an answer.
 */
export class TrackedClient extends Client {
	readonly connection: ConnectionState;

	/** `localAddress` is the IP address to connect from; the system selects one if it is undefined. */
	constructor(origin: string | URL, localAddress: string | undefined, onConnect: () => void) {
		const state: ConnectionState = {
			socket: undefined, hasFailed: false, connectedAt: Number.NEGATIVE_INFINITY, sentRequests: 0, rejectedIds: new Set(),
		};
		super(origin, {
			connect(options, callback) {
				connector(options, (...args) => {
					const [, socket] = args;
					if (socket !== null && socket !== undefined) {
						onConnect();
						state.socket = socket;
						state.hasFailed = false;
						state.sentRequests = 0;
						state.rejectedIds.clear();
						socket.on('error', () => {
							state.hasFailed = true;
						});
					}

					callback(...args);
				});
			},
			localAddress,
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: keepAliveMs,
			keepAliveMaxTimeout: maxKeepAliveMs,
			maxHeaderSize: maxHeaderBytes,
		});
		this.connection = state;
	}

	/** Closes the idle connection, if it is open. The next request opens another one. */
	closeConnection(): void {
		this.connection.socket?.destroy();
	}
}
