#!/usr/bin/env node
/**
 * Daemon that runs one router instance.
 */
import process from 'node:process';
import {
	binary, command, option, run, string,
} from 'cmd-ts';
import {Instance} from './instance.js';
import {configureLogging, createLogger} from './logging/index.js';
import {loadSettings, SettingsError} from './settings/index.js';

/** Exit codes of the daemon. */
enum ExitCode {
	Ok = 0,
	Failure = 1,
	BadSettings = 2,
}

const logger = createLogger('main');

const daemonCommand = command({
	name: 'bluebellyard-router',
	version: '0.1.0',
	description: 'Entry instance of the request router.',
	args: {
		settings: option({type: string, long: 'settings', description: 'INI file with the settings of this instance.'}),
	},
	async handler({settings}) {
		const cfg = loadSettings(settings);
		configureLogging(cfg.log);
		const instance = new Instance(cfg);
		handleSignals(instance);
		const addr = await instance.start();
		process.stdout.write(`ready ${addr}\n`);
	},
});

function handleSignals(instance: Instance): void {
	let isStopping = false;
	const stop = (signal: NodeJS.Signals) => {
		logger.info('Signal to stop.', {signal, isStopping});
		if (isStopping) {
			return;
		}

		isStopping = true;
		void instance.stop().then(() => {
			process.exit(ExitCode.Ok);
		});
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	process.on('SIGHUP', () => {
		instance.reloadTls().catch((err: unknown) => {
			logger.error('Failed to reload the TLS files.', {err});
		});
	});
}

try {
	await run(binary(daemonCommand), process.argv);
} catch (err) {
	process.stderr.write(`${err instanceof Error ? err.message : String(err)}\n`);
	process.exitCode = err instanceof SettingsError ? ExitCode.BadSettings : ExitCode.Failure;

	process.exit();
}
