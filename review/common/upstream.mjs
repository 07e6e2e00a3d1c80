/**
 * An upstream of a service that is not divided by key, as the pages describe it: it runs `slots` requests at a time, queues
 * a few, echoes the id of the request in each answer, and answers 503 with `X-Not-Executed` to what it doesn't run.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

export class Upstream {
	/** Requests that began to run: id, path and Unix milliseconds. */
	runs = [];
	/** All requests that arrived, with what became of them. */
	arrivals = [];
	born = Date.now();
	running = 0;
	waiting = [];

	/** `faults` may hold `sheds()`: reject the next request; `answer(res, id)`: answer it in a way of its own, returns whether it did; `onRejected(socket, bytes)`, with the rejection as sent. */
	constructor({id, service, zone, slots = 2, queue = 8, workMs = 60, faults = {}, bodyBytes = () => 0}) {
		Object.assign(this, {
			id, service, zone, slots, queue, workMs, faults, bodyBytes,
		});
		this.server = createServer({keepAliveTimeout: 10_000}, (req, res) => {
			this.handle(req, res);
		});
		this.server.on('connection', socket => {
			socket.on('error', () => undefined);
		});
	}

	async start() {
		await new Promise(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${this.server.address().port}`;
	}

	get load() {
		return `${this.running},${this.waiting.length},${this.slots},100`;
	}

	async handle(req, res) {
		res.on('error', () => undefined);
		this.faults.onRequest?.(req.socket, req.headers['x-attempt-id'], req.url);
		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		if (req.url === '/health') {
			res.writeHead(200, {'x-instance-id': this.id, 'x-upstream-load': this.load}).end();
			return;
		}

		if (req.url === '/api/grant' || req.url === '/api/release') {
			const expectedId = req.headers['x-expect-instance'];
			if (expectedId !== undefined && expectedId !== this.id) {
				res.writeHead(421, {'x-not-executed': '1', 'x-instance-id': this.id}).end();
				return;
			}

			this.handleCall?.(req.url, Buffer.concat(chunks), res);
			return;
		}

		const id = req.headers['x-attempt-id'];
		const arrival = {
			id, at: Date.now(), upstream: this.id, result: 'waits',
		};
		this.arrivals.push(arrival);
		const expected = req.headers['x-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			arrival.result = 'another upstream';
			res.writeHead(421, {'x-attempt-id': id, 'x-not-executed': '1', 'x-instance-id': this.id}).end();
			return;
		}

		if (this.faults.sheds?.() === true || this.waiting.length >= this.queue) {
			arrival.result = 'rejected';
			this.reject(res, id);
			return;
		}

		if (this.findObstacle?.(req) !== undefined) {
			arrival.result = 'key not held';
			res.writeHead(421, {'x-attempt-id': id, 'x-not-executed': '1', 'x-instance-id': this.id}).end();
			return;
		}

		if (this.running >= this.slots) {
			await new Promise(resolve => {
				this.waiting.push(resolve);
			});
		}

		if (res.destroyed) {
			arrival.result = 'closed in the queue';
			this.next();
			return;
		}

		if (this.findObstacle?.(req) !== undefined) {
			arrival.result = 'key lost in the queue';
			this.next();
			res.writeHead(421, {'x-attempt-id': id, 'x-not-executed': '1', 'x-instance-id': this.id}).end();
			return;
		}

		await this.run(arrival, req, res);
	}

	/** Rejects a request that it does not run. */
	reject(res, id) {
		const headers = {
			'x-attempt-id': id, 'x-not-executed': '1', 'x-upstream-load': this.load, 'content-length': 0,
		};
		const {socket} = res;
		res.writeHead(503, headers).end();
		const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		this.faults.onRejected?.(socket, `HTTP/1.1 503 Service Unavailable\r\n${lines}\r\n`, id);
	}

	async run(arrival, req, res) {
		const {id} = arrival;
		this.running += 1;
		arrival.result = 'runs';
		this.runs.push({
			id, path: req.url, upstream: this.id, at: Date.now(),
		});
		this.recordStart?.(id, req);
		// Most upstreams drop a request when its connection closes.
		res.once('close', () => {
			this.recordEnd?.(id);
		});
		await sleep(this.workMs * (0.5 + Math.random()));
		this.running -= 1;
		this.recordEnd?.(id);
		this.next();
		if (res.destroyed) {
			arrival.result = 'closed while it ran';
			return;
		}

		if (this.faults.answer?.(res, id) === true) {
			arrival.result = 'spoilt answer';
			return;
		}

		arrival.result = 'answered';
		const body = Buffer.from(`${id} of ${this.id}`.padEnd(this.bodyBytes(req.url), '.'));
		res.writeHead(200, {
			'x-attempt-id': id, 'x-response-seal': `seal-${id}`, 'x-upstream-load': this.load, 'content-length': body.length,
		}).end(body);
	}

	next() {
		const [resolve] = this.waiting.splice(0, 1);
		resolve?.();
	}

	stop() {
		this.server.close();
		this.server.closeAllConnections();
	}
}
