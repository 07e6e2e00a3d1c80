/** Guards against callers that get an answer with a status that is none, requests that wait for their deadline behind one, and interim responses without end. */
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {Dispatcher} from 'undici';
import {AnswerHandler, UnverifiedAnswerError} from './answer-handler.js';
import {startRawTarget} from './mocks/index.js';
import {TrackedClient} from './tracked-client.js';
import {UnverifiedReason} from './verify-answer.js';
import type {WholeAnswer} from './whole-answer.js';

class Receiver extends AnswerHandler {
	readonly results: Array<WholeAnswer | Error> = [];

	protected handleStart(): boolean {
		return true;
	}

	protected handleAnswer(answer: WholeAnswer): void {
		this.results.push(answer);
	}

	protected handleError(err: Error): void {
		this.results.push(err);
	}
}

function createReceiver(): Receiver {
	return new Receiver({
		method: 'GET', id: 'r1', idHeader: 'x-id', mayEndWithConnection: true,
	});
}

// The parser of the library accepts such heads, and may pass them on as any others.
for (const status of [0, 20, 99]) {
	test(`status ${status} ends the request, and nothing of it is an answer`, t => {
		const receiver = createReceiver();
		let aborts = 0;
		const controller: Dispatcher.DispatchController = {
			aborted: false,
			paused: false,
			reason: null,
			abort() {
				aborts += 1;
			},
			pause() {
				// Nothing is received.
			},
			resume() {
				// Nothing is received.
			},
		};
		receiver.onRequestStart(controller);
		receiver.onResponseStart(controller, status, {'x-id': 'r1', 'content-length': '0'});
		t.is(aborts, 1);
		receiver.onResponseEnd();
		receiver.onResponseError(controller, new Error('aborted'));
		t.is(receiver.results.length, 1);
		const [err] = receiver.results;
		t.true(err instanceof UnverifiedAnswerError && err.reason === UnverifiedReason.InvalidStatus);
	});
}

const whole = 'HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nbody';

// Interim responses have no length, and took the time of the process until the deadline of the request.
for (const [count, isAnswered] of [[32, true], [33, false], [100_000, false]] as const) {
	test(`an answer behind ${count} interim responses ${isAnswered ? 'counts' : 'does not'}`, async t => {
		const results = await receive(t, ['HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(count), whole], false);
		t.is(results.length, 1);
		t.is(!(results[0] instanceof Error), isAnswered);
		t.true(isAnswered || (results[0] instanceof UnverifiedAnswerError && results[0].reason === UnverifiedReason.InterimResponses));
	});
}

async function receive(t: ExecutionContext, parts: readonly string[], isEnded: boolean): Promise<Array<WholeAnswer | Error>> {
	const target = await startRawTarget(t, socket => {
		socket.write(parts[0]);
		setTimeout(() => {
			for (const part of parts.slice(1)) {
				socket.write(part);
			}

			if (isEnded) {
				socket.end();
			}
		}, 20);
	});
	const client = new TrackedClient(`http://${target.addr}`, {headersTimeout: 0, bodyTimeout: 0});
	t.teardown(async () => client.destroy());
	const receiver = createReceiver();
	receiver.send(client, {method: 'GET', path: '/'});
	for (let polls = 0; polls < 100 && receiver.results.length === 0; polls += 1) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(20);
	}

	return receiver.results;
}

for (const status of ['000', '099', '20', '1000', '101']) {
	for (const [name, headers] of [['a length', 'Content-Length: 4\r\n'], ['no length', '']]) {
		for (const [end, followed, isEnded] of [['kept open', [], false], ['closed', [], true], ['followed by a whole answer', [whole], true]] as const) {
			test(`a target answers ${status} with ${name}, ${end}`, async t => {
				const results = await receive(t, [`HTTP/1.1 ${status} Status\r\nX-Id: r1\r\n${headers}\r\nbody`, ...followed], isEnded);
				t.is(results.length, 1);
				t.true(results[0] instanceof Error);
			});
		}
	}
}
