import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** Number of polls without a change after which a crowd has done what it can, 50 ms apart. */
const settledPolls = 20;

/** Largest number of polls, 50 ms apart; the crowd may never come to rest. */
const maxPolls = 200;

/** Connections of callers that send what they like and read nothing. */
export class Crowd {
	private readonly sockets: Socket[] = [];
	private closed = 0;
	private hasLeft = false;

	constructor(private readonly port: number) {
		// The port is all that it needs.
	}

	/** Number of connections that the other side has closed. */
	get closedCount(): number {
		return this.closed;
	}

	/** Opens connections that each send the same parts and stay open. */
	open(count: number, ...parts: readonly Buffer[]): this {
		for (let i = 0; i < count; i += 1) {
			const socket = this.connect();
			for (const part of parts) {
				socket.write(part);
			}
		}

		return this;
	}

	/** Sends further bytes on each connection that it has opened. */
	send(bytes: Buffer): this {
		for (const socket of this.sockets) {
			socket.write(bytes);
		}

		return this;
	}

	/** Opens connections that each send a head and then the same part again and again; one that is closed is opened again. */
	repeat(count: number, head: Buffer, part: Buffer): this {
		for (let i = 0; i < count; i += 1) {
			this.openRepeating(head, part);
		}

		return this;
	}

	/** Waits until the other side takes no more bytes and closes no more connections. */
	async settle(): Promise<this> {
		let last = '';
		let unchanged = 0;
		for (let polls = 0; polls < maxPolls && unchanged < settledPolls; polls += 1) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(50);
			const state = `${this.closed} ${this.sockets.reduce((sum, {bytesWritten, writableLength}) => sum + bytesWritten - writableLength, 0)}`;
			unchanged = state === last ? unchanged + 1 : 0;
			last = state;
		}

		return this;
	}

	/** Closes all connections. */
	leave(): void {
		this.hasLeft = true;
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private openRepeating(head: Buffer, part: Buffer): void {
		const socket = this.connect();
		const write = () => {
			while (!socket.destroyed && socket.write(part)) {
				// The buffers of the connection have room.
			}
		};

		socket.write(head);
		socket.on('drain', write);
		socket.once('connect', write);
		socket.once('close', () => {
			setTimeout(() => {
				if (!this.hasLeft) {
					this.openRepeating(head, part);
				}
			}, 50);
		});
	}

	private connect(): Socket {
		const socket = connect(this.port, '127.0.0.1');
		socket.pause();
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.closed += 1;
		});
		this.sockets.push(socket);
		return socket;
	}
}

/** Returns the head of a request; `lines` are further header lines. */
export function formatHead(method: string, lines: readonly string[] = [], path = '/shared/1'): Buffer {
	return Buffer.from([`${method} ${path} HTTP/1.1`, 'Host: desk.example', ...lines, '', ''].join('\r\n'));
}

/** Returns a buffer that contains another one many times. */
export function repeatBytes(bytes: Buffer, count: number): Buffer {
	return Buffer.alloc(bytes.length * count, bytes);
}
