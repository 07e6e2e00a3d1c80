import {createLogger, type LogFields} from '@bluebellyard/router/logging';
import type {Clock} from '@bluebellyard/core';
import {Metrics} from './metrics.js';

/** Lines about requests a second; more are counted and dropped, so that a flood of refusals costs little. */
const maxLinesPerSecond = 150;

/** One of so many plain successes is logged. */
const successSample = 25;

const msPerSecond = 1000;

/** Log lines and metrics of one instance. */
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

	/** Lines dropped by the rate limit. */
	get suppressedLines(): number {
		return this.suppressed;
	}

	/** An event that changes what the instance believes or does. */
	info(part: string, msg: string, fields: LogFields = {}): void {
		this.logger(part).info(msg, fields);
	}

	/** Something that went wrong and was dealt with. */
	warn(part: string, msg: string, fields: LogFields = {}): void {
		if (this.allows()) {
			this.logger(part).warn(msg, fields);
		}
	}

	/** Something that went wrong and was not dealt with. */
	error(part: string, msg: string, fields: LogFields = {}): void {
		this.logger(part).error(msg, fields);
	}

	/** A decision about a request: a retry, refusal or failure. */
	logRequest(msg: string, fields: LogFields): void {
		if (this.allows()) {
			this.logger('request').info(msg, fields);
		}
	}

	/** An answer that went as it should; a sample is logged. */
	logSuccess(fields: LogFields): void {
		this.successes += 1;
		if (this.successes % successSample === 0 && this.allows()) {
			this.logger('request').info('Answered.', {...fields, sampled: successSample});
		}
	}

	/** Counts ranges that change their owner. */
	recordMoves(count: number): void {
		this.metrics.moves.inc(count);
	}

	private allows(): boolean {
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
