import {setImmediate, setTimeout as sleep} from 'node:timers/promises';
import {machineClock} from '@bluebellyard/standins';
import {ResultClass, type Attempt, type CallerView} from './attempt.js';
import type {Caller} from './caller.js';
import {Random} from './random.js';
import type {PlannedRequest, RequestPlan} from './request-plan.js';

/** Options of the generated load. */
export type LoadOptions = {
	/** Requests per second. */
	readonly rate: number;
	readonly durationMs: number;
	readonly seed: number;
	/** Maximum number of repeats, with the same request id, after a not-run or unknown result. */
	readonly repeats?: number;
	/** Delay before a repeat when the refusal has no `retry-after`, in milliseconds. */
	readonly repeatDelayMs?: number;
};

/** Sleeps are this much shorter than the remaining wait, because timers fire late; in milliseconds. */
const timerSlackMs = 2;
const defaultRepeatDelayMs = 200;
const msPerS = 1000;

/** Sends requests at Poisson arrival times, regardless of how slow the answers are (open loop). */
export class LoadGenerator {
	private readonly caller: Caller;
	private readonly plan: RequestPlan;
	private readonly options: LoadOptions;

	constructor(caller: Caller, plan: RequestPlan, options: LoadOptions) {
		this.caller = caller;
		this.plan = plan;
		this.options = options;
	}

	/** Sends all requests; resolves with the results of all once the last one is known. */
	async run(): Promise<CallerView[]> {
		const {rate, durationMs, seed} = this.options;
		const random = new Random(seed);
		const start = machineClock.now();
		const views: Array<Promise<CallerView>> = [];
		let elapsed = random.exponential(msPerS / rate);
		while (elapsed < durationMs) {
			// eslint-disable-next-line no-await-in-loop -- requests are sent in order of arrival
			await sleepUntil(start + elapsed);
			views.push(this.sendWithRepeats(this.plan.next(random, elapsed), start + elapsed));
			elapsed += random.exponential(msPerS / rate);
		}

		return Promise.all(views);
	}

	private async sendWithRepeats(request: PlannedRequest, scheduledAt: number): Promise<CallerView> {
		const attempts = [await this.caller.attempt(request, scheduledAt)];
		const repeats = this.options.repeats ?? 0;
		while (attempts.length <= repeats && mayRepeat(attempts.at(-1)!)) {
			// eslint-disable-next-line no-await-in-loop -- attempts are sequential
			attempts.push(await this.sendRepeat(request, attempts.at(-1)!));
		}

		return {
			id: request.id,
			line: `${request.method} ${request.path}`,
			key: request.key,
			isOnce: request.isOnce,
			attempts,
		};
	}

	private async sendRepeat(request: PlannedRequest, last: Attempt): Promise<Attempt> {
		const defaultMs = this.options.repeatDelayMs ?? defaultRepeatDelayMs;
		const waitMs = last.retryAfter === undefined ? defaultMs : last.retryAfter * msPerS;
		await sleep(waitMs);
		return this.caller.attempt(request, machineClock.now());
	}
}

function mayRepeat(attempt: Attempt): boolean {
	return attempt.result === ResultClass.NotRun || attempt.result === ResultClass.Unknown;
}

async function sleepUntil(time: number): Promise<void> {
	const remainingMs = time - machineClock.now();
	if (remainingMs > 2 * timerSlackMs) {
		await sleep(remainingMs - timerSlackMs);
	}

	while (machineClock.now() < time) {
		// eslint-disable-next-line no-await-in-loop -- yields to pending I/O
		await setImmediate();
	}
}
