import VError from 'verror';
import type {ExitCode} from './report.js';

/** Error that ends a command with an exit code and one line for the operator. */
export class CtlError extends VError {
	readonly exit: ExitCode;

	constructor(exit: ExitCode, message: string, cause?: unknown) {
		super({name: 'CtlError', cause: cause instanceof Error ? cause : undefined}, '%s', message);
		this.exit = exit;
	}
}
