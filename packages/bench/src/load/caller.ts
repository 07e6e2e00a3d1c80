import {
	AnswerCheck, checkAnswer, hashBody, machineClock, readAnswer,
} from '@bluebellyard/standins';
import type {Dispatcher} from 'undici';
import {ResultClass, type Attempt} from './attempt.js';
import {isConnectError, type Backend, type Balancer} from './balancer.js';
import type {PlannedRequest} from './request-plan.js';

/** Time beyond its timeout that a caller waits for the router's own answer, in milliseconds. */
const defaultGraceMs = 1000;

type Outcome = Pick<Attempt, 'result' | 'reason' | 'retryAfter' | 'target'>;

/** Sends single requests and classifies their results. */
export class Caller {
	private readonly balancer: Balancer;
	/** Timeout sent with each request, in milliseconds. */
	private readonly timeoutMs: number;
	private readonly graceMs: number;

	constructor(balancer: Balancer, timeoutMs: number, graceMs = defaultGraceMs) {
		this.balancer = balancer;
		this.timeoutMs = timeoutMs;
		this.graceMs = graceMs;
	}

	/** Sends a request that was due at `scheduledAt`; never throws, errors are part of the result. */
	async attempt(request: PlannedRequest, scheduledAt: number): Promise<Attempt> {
		const outcome = await this.sendToNextBackend(request, this.balancer.size);
		return {...outcome, scheduledAt, endedAt: machineClock.now()};
	}

	private async sendToNextBackend(request: PlannedRequest, backendsLeft: number): Promise<Outcome> {
		const backend = this.balancer.pick(machineClock.now());
		try {
			return await this.send(request, backend);
		} catch (err) {
			if (!isConnectError(err)) {
				return createFailure(ResultClass.Unknown, getErrorCode(err));
			}

			this.balancer.recordConnectError(backend, machineClock.now());
			return backendsLeft > 1
				? this.sendToNextBackend(request, backendsLeft - 1)
				: createFailure(ResultClass.NotRun, 'connect');
		}
	}

	private async send(request: PlannedRequest, backend: Backend): Promise<Outcome> {
		const res = await backend.dispatcher.request({
			method: request.method,
			path: request.path,
			headers: {
				'idempotency-key': request.id,
				'x-caller': request.caller,
				'x-timeout-ms': String(this.timeoutMs),
			},
			body: request.body === '' ? undefined : request.body,
			signal: AbortSignal.timeout(this.timeoutMs + this.graceMs),
		});
		const text = await res.body.text();
		return res.statusCode === 200 ? classifyAnswer(request, text) : classifyRefusal(res);
	}
}

function classifyAnswer(request: PlannedRequest, text: string): Outcome {
	const check = checkAnswer(text, {
		request: request.id,
		line: `${request.method} ${request.path}`,
		received: hashBody(new TextEncoder().encode(request.body)),
	});
	switch (check) {
		case AnswerCheck.Whole: {
			return {result: ResultClass.Ok, reason: '', target: readAnswer(text)!.target};
		}

		case AnswerCheck.Truncated: {
			return createFailure(ResultClass.Truncated, 'truncated');
		}

		case AnswerCheck.Wrong: {
			return createFailure(ResultClass.Wrong, 'wrong-answer');
		}
	}
}

function classifyRefusal({headers, statusCode}: Dispatcher.ResponseData): Outcome {
	const reason = String(headers['x-reason'] ?? headers['x-not-run'] ?? statusCode);
	const retryAfter = headers['retry-after'] === undefined ? undefined : Number(headers['retry-after']);
	if (headers['x-outcome'] === 'not-run' || headers['x-not-run'] !== undefined) {
		return {...createFailure(ResultClass.NotRun, reason), retryAfter};
	}

	if (headers['x-aborted'] !== undefined) {
		return createFailure(ResultClass.Unknown, 'target-aborted');
	}

	const isUnknown = headers['x-outcome'] === 'unknown';
	return {...createFailure(isUnknown ? ResultClass.Unknown : ResultClass.Wrong, reason), retryAfter};
}

function createFailure(result: ResultClass, reason: string): Outcome {
	return {result, reason, target: ''};
}

function getErrorCode(err: unknown): string {
	if (err instanceof Error) {
		return 'code' in err && typeof err.code === 'string' ? err.code : err.name;
	}

	return 'error';
}
