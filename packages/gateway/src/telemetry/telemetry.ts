import {createLogger, type LogFields} from '@bluebellyard/router/logging';
import type {Clock} from '@bluebellyard/core';
import {Metrics} from './metrics.js';

/** Log lines per second that are written about requests and warnings. Further lines are counted and dropped, to limit the cost of mass refusals. */
const maxLinesPerSecond = 150;

/** One in this many successful requests is logged. */
const successSample = 25;

const msPerSecond = 1000;

/** Logging and metrics of one instance. */
export class Telemetry {
	readonly metrics = new Metrics();
	private readonly clock: Clock;
	private readonly loggers = new Map<string, ReturnType<typeof createLogger>>();
	private windowStart = 0;
	private linesInWindow = 0;
	private suppressed = 0;
	private successes = 0;

	constructor(clock: Clock) {
		this.clock = clock;
	}

	/** Number of lines dropped by the rate limit. */
	get suppressedLines(): number {
		return this.suppressed;
	}

	/** Logs a change of the state or role of the instance. */
	info(part: string, msg: string, fields: LogFields = {}): void {
		this.logger(part).info(msg, fields);
	}

	/** Logs a step of a change that affects many ranges or targets at once. Rate-limited. */
	trace(part: string, msg: string, fields: LogFields = {}): void {
		if (this.mayWrite()) {
			this.logger(part).info(msg, fields);
		}
	}

	/** Logs a failure that the instance handled. Rate-limited. */
	warn(part: string, msg: string, fields: LogFields = {}): void {
		if (this.mayWrite()) {
			this.logger(part).warn(msg, fields);
		}
	}

	/** Logs a failure that the instance could not handle. */
	error(part: string, msg: string, fields: LogFields = {}): void {
		this.logger(part).error(msg, fields);
	}

	/** Logs a retry, refusal or failure of a request. Rate-limited. */
	logRequest(msg: string, fields: LogFields): void {
		if (this.mayWrite()) {
			this.logger('request').info(msg, fields);
		}
	}

	/** Counts a successful request and logs one in `successSample`. Rate-limited. */
	logSuccess(fields: LogFields): void {
		this.successes += 1;
		if (this.successes % successSample === 0 && this.mayWrite()) {
			this.logger('request').info('Request answered.', {...fields, sampled: successSample});
		}
	}

	/** Counts key ranges that changed their owner. */
	recordMoves(count: number): void {
		this.metrics.moves.inc(count);
	}

	private mayWrite(): boolean {
		const now = this.clock.now();
		if (now - this.windowStart >= msPerSecond) {
			this.windowStart = now;
			this.linesInWindow = 0;
		}

		this.linesInWindow += 1;
		if (this.linesInWindow <= maxLinesPerSecond) {
			return true;
		}

		this.suppressed += 1;
		return false;
	}

	private logger(part: string): ReturnType<typeof createLogger> {
		const known = this.loggers.get(part);
		if (known !== undefined) {
			return known;
		}

		const logger = createLogger(part);
		this.loggers.set(part, logger);
		return logger;
	}
}
