/**
 * Appends one record and reads its outcome back from the log.
 */
import {LogUnavailable, type LogService} from '@bluebellyard/coordination';
import {encodeRecord, type LogRecord} from '@bluebellyard/core';
import {CtlError} from '../ctl-error.js';
import type {CommandContext} from '../command-context.js';
import {type FoldedLog, type FoldedRecord, toCtlError} from '../platform/index.js';
import {ExitCode} from '../report.js';

const readWaitMs = 500;
const retryDelayMs = 200;

async function append(log: LogService, record: LogRecord): Promise<void> {
	try {
		await log.append([encodeRecord(record)]);
	} catch (err) {
		if (err instanceof LogUnavailable && err.mayHaveRun) {
			// The answer was lost and the record may have been appended: it is searched for in the log, never sent again.
			return;
		}

		throw new CtlError(ExitCode.Unreachable, 'the log service accepted no record; nothing was published', err);
	}
}

async function foldOrPause(folded: FoldedLog, context: CommandContext): Promise<void> {
	try {
		await folded.foldNextPage(readWaitMs);
	} catch (err) {
		if (!(err instanceof LogUnavailable)) {
			throw toCtlError(err);
		}

		await context.sleep(retryDelayMs);
	}
}

/**
 * Appends a record and resolves to its outcome. Throws `CtlError` with
 * `Unreachable` when the log did not accept the record, or when it was not read
 * back within the timeout.
 */
export async function publishRecord(context: CommandContext, log: LogService, folded: FoldedLog, record: LogRecord): Promise<FoldedRecord> {
	const deadline = context.clock.now() + context.timeoutMs;
	await append(log, record);
	for (;;) {
		const outcome = folded.findOutcome(record.id);
		if (outcome) {
			return outcome;
		}

		if (context.clock.now() >= deadline) {
			throw new CtlError(ExitCode.Unreachable, `record ${record.id} was not read back in time; it may still take effect`);
		}

		// Each read starts where the previous one ended.
		// eslint-disable-next-line no-await-in-loop
		await foldOrPause(folded, context);
	}
}
