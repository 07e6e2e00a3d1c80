/**
 * The command line of the operators' command.
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

/** An `Env` whose connections can be closed. */
export type OpenContext = {
	readonly context: CommandContext;
	readonly close: () => Promise<void>;
};

/** What the command line needs from its host. */
export type Host = {
	readonly version: string;
	readonly writeOutput: (text: string) => void;
	readonly writeError: (text: string) => void;
	/** Text of a file; throws `CtlError`. */
	readonly readFile: (path: string) => string;
	/** Connects as the options say; throws `CtlError` or `SettingsError`. */
	readonly open: (options: CommonOptions) => OpenContext;
};

/** Result of a command and how it is to be printed. */
type Outcome = {
	readonly report: Report;
	readonly asJson: boolean;
};

async function runWithEnv(host: Host, options: CommonOptions, work: (env: CommandContext) => Promise<Report>): Promise<Report> {
	try {
		const {context: env, close} = host.open(options);
		try {
			return await work(env);
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
const wait = flag({long: 'wait', description: 'wait until it is in force at every instance'});
const subject = {
	kind: positional({type: oneOf(Object.values(DrainKind)), displayName: 'domain|target'}),
	name: positional({type: string, displayName: 'name'}),
	wait,
};

function createApp(host: Host) {
	const run = async (options: CommonOptions, work: (env: CommandContext) => Promise<Report>): Promise<Outcome> => ({
		report: await runWithEnv(host, options, work), asJson: options.json,
	});

	return subcommands({
		name: 'bluebellyard',
		version: host.version,
		description: 'Publishes rules and shows what is in force. '
			+ 'Exit codes: 0 done, 1 refused or conflict, 2 bad input or usage, 3 platform not reached.',
		cmds: {
			check: command({
				name: 'check',
				description: 'check a rules file; with a log service also against its targets',
				args: {...commonOptions, file},
				handler: async args => run(args, async env => check(env, args.file, host.readFile(args.file))),
			}),
			publish: command({
				name: 'publish',
				description: 'publish a rules file unless another edit came first',
				args: {
					...commonOptions,
					file,
					wait,
					base: option({
						long: 'base',
						type: optional(wholeNumber),
						description: 'offset of the configuration it was made from; by default that in the header of the file, else the one in force',
					}),
				},
				handler: async args => run(args, async env => publish(env, args.file, host.readFile(args.file), args)),
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
					who: option({long: 'who', type: personName, description: 'who asked for it'}),
				},
				handler: async args => run(args, async env => drain(env, args, args.who)),
			}),
			return: command({
				name: 'return',
				description: 'bring a failure domain or target back into service',
				args: {...commonOptions, ...subject},
				handler: async args => run(args, async env => returnToService(env, args)),
			}),
			status: command({
				name: 'status',
				description: 'show which configuration each instance has in force and who owns what',
				args: commonOptions,
				handler: async args => run(args, status),
			}),
			explain: command({
				name: 'explain',
				description: 'tell why a request or key goes where it goes',
				args: {
					...commonOptions,
					subject: positional({type: string, displayName: 'path|key'}),
					method: option({long: 'method', type: string, defaultValue: () => 'GET'}),
					pool: option({long: 'pool', type: optional(string), description: 'pool of the key'}),
				},
				handler: async args => run(args, async env => explain(env, args)),
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

/** Runs one command; gives its exit code. */
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
