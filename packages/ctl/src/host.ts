/**
 * Implements `Host` for a real process: standard streams, files, the log service and instances.
 */
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {userInfo} from 'node:os';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {HttpLogService} from '@bluebellyard/coordination';
import {systemClock} from '@bluebellyard/core';
import {loadSettings, SettingsError} from '@bluebellyard/router';
import {z} from 'zod';
import type {Host, OpenContext} from './app.js';
import {CtlError} from './ctl-error.js';
import type {CommonOptions} from './options.js';
import {HttpInstanceClient} from './platform/index.js';
import {ExitCode} from './report.js';

const requestTimeoutMs = 2000;
const logConnections = 1;

const packageSchema = z.object({version: z.string()});

function readFile(path: string): string {
	try {
		return readFileSync(path, 'utf8');
	} catch (err) {
		throw new CtlError(ExitCode.BadInput, `${path} cannot be read`, err);
	}
}

function findLogOrigin(options: CommonOptions): string | undefined {
	if (options.log !== undefined || options.settings === undefined) {
		return options.log;
	}

	try {
		return loadSettings(options.settings).platform.log;
	} catch (err) {
		if (err instanceof SettingsError) {
			throw new CtlError(ExitCode.BadInput, err.message);
		}

		throw err;
	}
}

function openContext(options: CommonOptions): OpenContext {
	const origin = findLogOrigin(options);
	const log = origin === undefined
		? undefined
		: new HttpLogService({origin, timeoutMs: requestTimeoutMs, connections: logConnections});
	return {
		context: {
			log,
			instanceClient: new HttpInstanceClient(requestTimeoutMs),
			instances: options.instances,
			clock: systemClock,
			timeoutMs: options.timeout,
			async sleep(ms) {
				await sleep(ms);
			},
			createRecordId: randomUUID,
			operator: `operator:${userInfo().username}`,
		},
		async close() {
			await log?.close();
		},
	};
}

/** Creates the host of a real process. */
export function createHost(): Host {
	const {version} = packageSchema.parse(JSON.parse(readFile(new URL('../package.json', import.meta.url).pathname)));
	return {
		version,
		writeOutput(text) {
			process.stdout.write(text);
		},
		writeError(text) {
			process.stderr.write(text);
		},
		readFile,
		open: openContext,
	};
}
