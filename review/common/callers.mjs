/** Requesters: send single requests and record what they get. They don't retry. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {Agent, request} from 'node:http';
import {host} from './deployment.mjs';

/** Returns a new id of an attempt. */
export function createId() {
	return randomBytes(8).toString('hex');
}

/** A requester that keeps its connections open for many requests. */
export class Caller {
	agent = new Agent({keepAlive: true, maxSockets: 64});

	/** Sends a request and resolves to what came back. A status of 0 means that the connection ended without a complete answer. */
	async send(instance, {id = createId(), method = 'GET', path, deadlineMs, headers = {}, body}) {
		const sentAt = Date.now();
		return new Promise(resolve => {
			let isReused = false;
			const done = rest => {
				clearTimeout(timer);
				resolve({
					id, instance: instance.name, sentAt, endedAt: Date.now(), path, isReused, ...rest,
				});
			};

			const req = request({
				host: instance.address, port: instance.port, agent: this.agent, method, path, headers: {
					host, 'x-attempt-id': id, 'x-deadline-ms': String(deadlineMs), ...(body !== undefined && {'content-length': body.length}), ...headers,
				},
			}, res => {
				const chunks = [];
				res.on('data', chunk => {
					chunks.push(chunk);
				});
				res.once('close', () => {
					done(res.complete
						? {
							status: res.statusCode, seal: res.headers['x-response-seal'], answerId: res.headers['x-attempt-id'], body: Buffer.concat(chunks).toString(),
						}
						: {status: 0, reason: 'the answer ended early'});
				});
			});
			isReused = req.reusedSocket;
			const timer = setTimeout(() => {
				done({status: 0, reason: 'given up', hasGivenUp: true});
				req.destroy();
			}, deadlineMs + 1000);
			req.once('socket', () => {
				isReused = req.reusedSocket;
			});
			req.on('error', err => {
				done({status: 0, reason: err.code ?? err.message});
			});
			req.end(body);
		});
	}

	stop() {
		this.agent.destroy();
	}
}
