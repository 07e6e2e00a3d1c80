import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import type {ExecutionContext} from 'ava';

/** Steps of the script, as stored in the first element of `flag`; after the last one it stores the status, or -1. */
enum Step {
	Answered = 1,
	SendNext = 2,
	Sent = 3,
}

const pollIntervalMs = 10;
const maxBlockMs = 5000;

const script = String.raw`
const {workerData: {port, flag, isUsed}} = require('node:worker_threads');
const {connect} = require('node:net');
const store = value => {
	Atomics.store(flag, 0, value);
	Atomics.notify(flag, 0);
};
let status = -1;
let socket;
const open = done => {
	socket = connect(port, '127.0.0.1', done);
	socket.on('error', () => undefined);
	socket.on('close', () => store(status));
};
const send = done => socket.write('GET /k HTTP/1.1\r\nHost: a.example\r\n\r\n', done);
const sendNext = () => {
	socket.on('data', data => {
		status = Number(data.toString().slice(9, 12));
	});
	send(() => store(${Step.Sent}));
};
const waitForNext = () => {
	store(${Step.Answered});
	Atomics.wait(flag, 0, ${Step.Answered});
};
if (isUsed) {
	open(() => {
		socket.once('data', () => {
			waitForNext();
			sendNext();
		});
		send();
	});
} else {
	waitForNext();
	open(sendNext);
}
`;

/** Caller in a thread of its own, which sends a request while the thread of the test is blocked. */
export class BlockedCaller {
	private readonly flag = new Int32Array(new SharedArrayBuffer(4));
	private readonly worker: Worker;
	private readonly exited: Promise<unknown>;

	/** A used caller opens its connection at once and has a first request answered on it. */
	constructor(t: ExecutionContext, port: number, isUsed = true) {
		this.worker = new Worker(script, {eval: true, workerData: {port, flag: this.flag, isUsed}});
		this.exited = once(this.worker, 'exit');
		t.teardown(async () => this.worker.terminate());
	}

	/** Resolves when the first request is answered, or the caller is ready to open its connection. */
	async open(): Promise<void> {
		while (Atomics.load(this.flag, 0) !== Number(Step.Answered)) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollIntervalMs);
		}

		await sleep(pollIntervalMs);
	}

	/** Blocks this thread until the next request is sent, as if the process were short of processor time. */
	sendNextWhileBlocked(blockMs = 0): void {
		Atomics.store(this.flag, 0, Step.SendNext);
		Atomics.notify(this.flag, 0);
		Atomics.wait(this.flag, 0, Step.SendNext, maxBlockMs);
		if (blockMs > 0) {
			Atomics.wait(this.flag, 0, Step.Sent, blockMs);
		}
	}

	/** Resolves to the status of the answer to that request when its connection is closed; -1 without an answer. */
	async status(): Promise<number> {
		await this.exited;
		return Atomics.load(this.flag, 0);
	}
}
