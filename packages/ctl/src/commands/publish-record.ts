/**
 * Appends one record and reads back how it was folded.
 */
import {LogUnavailable, type LogService} from '@bluebellyard/coordination';
import {encodeRecord, type LogRecord} from '@bluebellyard/core';
import {CtlError} from '../ctl-error.js';
import type {CommandContext} from '../command-context.js';
import {type FoldedLog, type FoldedRecord, toCtlError} from '../platform/index.js';
import {ExitCode} from '../report.js';

const waitMs = 500;
const retryPauseMs = 200;

async function append(log: LogService, record: LogRecord): Promise<void> {
	try {
		await log.append([encodeRecord(record)]);
	} catch (err) {
		if (err instanceof LogUnavailable && err.mayHaveRun) {
			// The answer was lost; the record is looked for, never sent again.
			return;
		}

		throw new CtlError(ExitCode.Unreachable, 'the log service took no record; nothing was published', err);
	}
}

async function tryStep(folded: FoldedLog, env: CommandContext): Promise<void> {
	try {
		await folded.foldNextPage(waitMs);
	} catch (err) {
		if (!(err instanceof LogUnavailable)) {
			throw toCtlError(err);
		}

		await env.sleep(retryPauseMs);
	}
}

/**
 * Publishes a record. Throws `CtlError` with `Unreachable` when the log took
 * nothing, or when the record was not read back in time.
 */
export async function publishRecord(env: CommandContext, log: LogService, folded: FoldedLog, record: LogRecord): Promise<FoldedRecord> {
	const deadline = env.clock.now() + env.timeoutMs;
	await append(log, record);
	for (;;) {
		const outcome = folded.findOutcome(record.id);
		if (outcome) {
			return outcome;
		}

		if (env.clock.now() >= deadline) {
			throw new CtlError(ExitCode.Unreachable, `record ${record.id} was not read back in time; it may still take effect`);
		}

		// Each read starts where the one before ended.
		// eslint-disable-next-line no-await-in-loop
		await tryStep(folded, env);
	}
}
