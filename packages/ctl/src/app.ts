/**
 * Command-line interface of the operators' command.
 */
import {
	command, flag, oneOf, option, optional, positional, runSafely, string, subcommands,
} from 'cmd-ts';
import {
	returnToService, check, drain, DrainKind, explain, publish, show, status,
} from './commands/index.js';
import {CtlError} from './ctl-error.js';
import type {CommandContext} from './command-context.js';
import {
	type CommonOptions, commonOptions, personName, wholeNumber,
} from './options.js';
import {
	ExitCode, createFailureReport, formatReport, type Report,
} from './report.js';

/** A `CommandContext` and the function that closes its connections. */
export type OpenContext = {
	readonly context: CommandContext;
	readonly close: () => Promise<void>;
};

/** Access to the outside of the process: output, files and connections. */
export type Host = {
	readonly version: string;
	readonly writeOutput: (text: string) => void;
	readonly writeError: (text: string) => void;
	/** Returns the text of a file; throws `CtlError` when it can't be read. */
	readonly readFile: (path: string) => string;
	/** Creates the context that the options describe; throws `CtlError` when the settings file can't be used. */
	readonly open: (options: CommonOptions) => OpenContext;
};

/** Result of a command and the format in which to print it. */
type Outcome = {
	readonly report: Report;
	readonly asJson: boolean;
};

async function runWithContext(host: Host, options: CommonOptions, runCommand: (context: CommandContext) => Promise<Report>): Promise<Report> {
	try {
		const {context, close} = host.open(options);
		try {
			return await runCommand(context);
		} finally {
			await close();
		}
	} catch (err) {
		if (err instanceof CtlError) {
			return createFailureReport(err.exit, [err.message]);
		}

		throw err;
	}
}

const file = positional({type: string, displayName: 'file', description: 'rules file'});
const wait = flag({long: 'wait', description: 'wait until the change is in force at every instance'});
const subject = {
	kind: positional({type: oneOf(Object.values(DrainKind)), displayName: 'domain|target'}),
	name: positional({type: string, displayName: 'name'}),
	wait,
};

function createApp(host: Host) {
	const run = async (options: CommonOptions, runCommand: (context: CommandContext) => Promise<Report>): Promise<Outcome> => ({
		report: await runWithContext(host, options, runCommand), asJson: options.json,
	});

	return subcommands({
		name: 'bluebellyard',
		version: host.version,
		description: 'Publishes rules and shows what is in force. '
			+ 'Exit codes: 0 done, 1 refused or conflict, 2 bad input or usage, 3 platform not reached.',
		cmds: {
			check: command({
				name: 'check',
				description: 'check a rules file; with a log service, also against the targets recorded there',
				args: {...commonOptions, file},
				handler: async args => run(args, async context => check(context, args.file, host.readFile(args.file))),
			}),
			publish: command({
				name: 'publish',
				description: 'publish a rules file, unless another edit was published first',
				args: {
					...commonOptions,
					file,
					wait,
					base: option({
						long: 'base',
						type: optional(wholeNumber),
						description: 'offset of the configuration that the file is based on; by default the one in its header, or else the one in force',
					}),
				},
				handler: async args => run(args, async context => publish(context, args.file, host.readFile(args.file), args)),
			}),
			show: command({
				name: 'show',
				description: 'print the rules in force, ready to be edited and published',
				args: commonOptions,
				handler: async args => run(args, show),
			}),
			drain: command({
				name: 'drain',
				description: 'take a failure domain or target out of service',
				args: {
					...commonOptions,
					...subject,
					who: option({long: 'who', type: personName, description: 'name of the person who requested the change'}),
				},
				handler: async args => run(args, async context => drain(context, args, args.who)),
			}),
			return: command({
				name: 'return',
				description: 'bring a failure domain or target back into service',
				args: {...commonOptions, ...subject},
				handler: async args => run(args, async context => returnToService(context, args)),
			}),
			status: command({
				name: 'status',
				description: 'show which configuration each instance has in force and who owns what',
				args: commonOptions,
				handler: async args => run(args, status),
			}),
			explain: command({
				name: 'explain',
				description: 'explain which pool, shard and target a request or key is routed to, and by which rule',
				args: {
					...commonOptions,
					subject: positional({type: string, displayName: 'path|key'}),
					method: option({long: 'method', type: string, defaultValue: () => 'GET'}),
					pool: option({long: 'pool', type: optional(string), description: 'pool of the key'}),
				},
				handler: async args => run(args, async context => explain(context, args)),
			}),
		},
	});
}

function printUsage(host: Host, text: string, isError: boolean): ExitCode {
	if (isError) {
		host.writeError(`${text}\n`);
		return ExitCode.BadInput;
	}

	host.writeOutput(`${text}\n`);
	return ExitCode.Ok;
}

/** Runs one command; resolves to its exit code. */
export async function runCtl(argv: readonly string[], host: Host): Promise<ExitCode> {
	const result = await runSafely(createApp(host), [...argv]);
	if (result._tag === 'error') {
		const {message, into, exitCode} = result.error.config;
		return printUsage(host, message, argv.length === 0 || into === 'stderr' || exitCode !== 0);
	}

	const {report, asJson} = await result.value.value;
	const text = formatReport(report, asJson);
	if (asJson || report.exit === ExitCode.Ok) {
		host.writeOutput(text);
	} else {
		host.writeError(text);
	}

	return report.exit;
}
