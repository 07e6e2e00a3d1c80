/**
 * What the commands need from outside.
 */
import type {LogService} from '@bluebellyard/coordination';
import type {Clock} from '@bluebellyard/core';
import {CtlError} from './ctl-error.js';
import type {InstanceClient} from './platform/index.js';
import {ExitCode} from './report.js';

/** The outside world of one command. */
export type CommandContext = {
	/** Absent when the operator named no log service. */
	readonly log?: LogService;
	readonly instanceClient: InstanceClient;
	/** Control addresses that the operator named; empty to take them from the log. */
	readonly instances: readonly string[];
	readonly clock: Clock;
	/** Longest time for a result, in milliseconds. */
	readonly timeoutMs: number;
	/** Resolves after `ms` milliseconds. */
	readonly sleep: (ms: number) => Promise<void>;
	/** A new record id. */
	readonly createRecordId: () => string;
	/** Name under which records are written. */
	readonly operator: string;
};

/** The log service; throws `CtlError` when none was named. */
export function requireLog(env: CommandContext): LogService {
	if (!env.log) {
		throw new CtlError(ExitCode.BadInput, 'no log service is named; expected --log URL or --settings FILE');
	}

	return env.log;
}
