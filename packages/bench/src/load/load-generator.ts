import {setImmediate, setTimeout as sleep} from 'node:timers/promises';
import {machineClock} from '@bluebellyard/standins';
import {ResultClass, type Attempt, type CallerView} from './attempt.js';
import type {Caller} from './caller.js';
import {Random} from './random.js';
import type {PlannedRequest, RequestPlan} from './request-plan.js';

/** How load is generated. */
export type LoadOptions = {
	/** Requests a second. */
	readonly rate: number;
	readonly durationMs: number;
	readonly seed: number;
	/** Most repeats, with the same request id, after a result that is not ok. */
	readonly repeats?: number;
	/** Time until a repeat when the refusal names none, in milliseconds. */
	readonly repeatAfterMs?: number;
};

/** Sleeps are this much shorter than the wait, for timers are late; in milliseconds. */
const timerSlackMs = 2;
const defaultRepeatDelayMs = 200;
const msPerS = 1000;

/** Sends requests at Poisson arrival times, however slow the answers are. */
export class LoadGenerator {
	private readonly caller: Caller;
	private readonly plan: RequestPlan;
	private readonly options: LoadOptions;

	constructor(caller: Caller, plan: RequestPlan, options: LoadOptions) {
		this.caller = caller;
		this.plan = plan;
		this.options = options;
	}

	/** Sends all requests; resolves when the last result is known. */
	async run(): Promise<CallerView[]> {
		const {rate, durationMs, seed} = this.options;
		const random = new Random(seed);
		const start = machineClock.now();
		const views: Array<Promise<CallerView>> = [];
		let elapsed = random.exponential(msPerS / rate);
		while (elapsed < durationMs) {
			// eslint-disable-next-line no-await-in-loop -- arrivals have an order
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
			// eslint-disable-next-line no-await-in-loop -- attempts follow each other
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
		const standardMs = this.options.repeatAfterMs ?? defaultRepeatDelayMs;
		const waitMs = last.retryAfter === undefined ? standardMs : last.retryAfter * msPerS;
		await sleep(waitMs);
		return this.caller.attempt(request, machineClock.now());
	}
}

function mayRepeat(attempt: Attempt): boolean {
	return attempt.result === ResultClass.NotRun || attempt.result === ResultClass.Unknown;
}

async function sleepUntil(time: number): Promise<void> {
	const left = time - machineClock.now();
	if (left > 2 * timerSlackMs) {
		await sleep(left - timerSlackMs);
	}

	while (machineClock.now() < time) {
		// eslint-disable-next-line no-await-in-loop -- lets input and output go on
		await setImmediate();
	}
}
