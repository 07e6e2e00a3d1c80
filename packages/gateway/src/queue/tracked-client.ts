import type {Socket} from 'node:net';
import {buildConnector, Client} from 'undici';

/** Time to open a connection to a target, in milliseconds; a first packet that was lost is not waited for. */
const connectTimeoutMs = 350;

/** How long an idle connection is kept when the target does not say, in milliseconds. */
const keepAliveMs = 4000;

/** Longest time for which an idle connection is kept, in milliseconds: targets may forget it earlier than they say. */
const maxKeepAliveMs = 8000;

/** Largest head of an answer, in bytes. */
const maxHeadBytes = 65_536;

const connector = buildConnector({timeout: connectTimeoutMs});

/** What is known of the connection under a request. */
export type ConnectionState = {
	socket: Socket | undefined;
	/** Whether the connection ended by an error and not by the end of its bytes. */
	hasFailed: boolean;
};

/**
 * A client with one connection that tells a reset from an end. An answer
 * without a length is whole only if its connection ended in order; the parser
 * of `undici` takes a reset for the end of such an answer.
 */
export class TrackedClient extends Client {
	/** Its connection. */
	readonly connection: ConnectionState;

	constructor(origin: string | URL, onConnect: () => void) {
		const state: ConnectionState = {socket: undefined, hasFailed: false};
		super(origin, {
			connect(options, callback) {
				connector(options, (...args) => {
					const [, socket] = args;
					if (socket !== null && socket !== undefined) {
						onConnect();
						state.socket = socket;
						state.hasFailed = false;
						socket.on('error', () => {
							state.hasFailed = true;
						});
					}

					callback(...args);
				});
			},
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: keepAliveMs,
			keepAliveMaxTimeout: maxKeepAliveMs,
			maxHeaderSize: maxHeadBytes,
		});
		this.connection = state;
	}
}
