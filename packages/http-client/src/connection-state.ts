import type {Socket} from 'node:net';
import {holdEnd} from './hold-end.js';

/** How the other side has ended a connection. */
export enum ConnectionEnd {
	/** It has not. */
	None = 'none',
	/** In an orderly way, after all of its bytes. */
	Orderly = 'orderly',
	/** By a reset, or the connection failed. */
	Failed = 'failed',
}

/** Largest number of requests that are remembered of a connection; a second answer to an older one would have been noticed in the place of a later answer. */
const maxRequestIds = 64;

/** State of a connection that carries requests one after the other. */
export class ConnectionState {
	/** Whether the present answer ends with the connection. */
	isAnswerCloseDelimited = false;
	/** How the other side has ended it. An end by this side is none: it says nothing about the bytes that were still to come. */
	end = ConnectionEnd.None;
	/** Number of requests that were written to it. */
	sentRequests = 0;
	/** Ids of the requests that were written to it last. */
	readonly requestIds = new Set<string>();
	readonly socket: Socket;
	/** When it was opened, in monotonic milliseconds. */
	readonly connectedAt: number;

	constructor(socket: Socket, connectedAt: number) {
		this.socket = socket;
		this.connectedAt = connectedAt;
		holdEnd(socket, () => this.isAnswerCloseDelimited);
		socket.once('end', () => {
			this.recordEnd(ConnectionEnd.Orderly);
		});
		socket.on('error', () => {
			this.recordEnd(ConnectionEnd.Failed);
		});
	}

	/** Records that a request is written. */
	recordRequest(id: string): void {
		this.sentRequests += 1;
		this.requestIds.add(id);
		if (this.requestIds.size > maxRequestIds) {
			const [oldest] = this.requestIds;
			this.requestIds.delete(oldest);
		}
	}

	private recordEnd(end: ConnectionEnd): void {
		if (this.end === ConnectionEnd.None) {
			this.end = end;
		}
	}
}
