/**
 * Dependencies of the commands.
 */
import type {LogService} from '@bluebellyard/coordination';
import type {Clock} from '@bluebellyard/core';
import {CtlError} from './ctl-error.js';
import type {InstanceClient} from './platform/index.js';
import {ExitCode} from './report.js';

/** Services and options available to one command. */
export type CommandContext = {
	/** Absent when the operator specified no log service. */
	readonly log?: LogService;
	readonly instanceClient: InstanceClient;
	/** Control addresses that the operator specified; when empty, those in the log are used. */
	readonly instances: readonly string[];
	readonly clock: Clock;
	/** Longest time to wait for a result, in milliseconds. */
	readonly timeoutMs: number;
	/** Resolves after `ms` milliseconds. */
	readonly sleep: (ms: number) => Promise<void>;
	/** Returns a new, unique record id. */
	readonly createRecordId: () => string;
	/** Author of the records that the command writes. */
	readonly operator: string;
};

/** Returns the log service; throws `CtlError` when none was specified. */
export function requireLog(context: CommandContext): LogService {
	if (!context.log) {
		throw new CtlError(ExitCode.BadInput, 'no log service is specified; expected --log URL or --settings FILE');
	}

	return context.log;
}
