/**
 * Reads the certificate and key files of an instance.
 */
import type {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {createSecureContext} from 'node:tls';
import {TlsMode} from './schema.js';
import {SettingsError} from './settings-error.js';
import type {TlsSettings} from './settings.js';

/** PEM contents of the certificate and key files. */
export type TlsFiles = {
	readonly ca: Buffer;
	readonly cert: Buffer;
	readonly key: Buffer;
};

function createTlsError(file: string, key: string, what: string, err: unknown): SettingsError {
	const cause = err instanceof Error ? err : undefined;
	const problem = {
		section: 'tls', key, what, expected: 'a PEM file',
	};
	return new SettingsError(file, [problem], cause);
}

function readPem(file: string, key: 'ca' | 'cert' | 'key', path = ''): Buffer {
	try {
		return readFileSync(path);
	} catch (err) {
		throw createTlsError(file, key, `"${path}" cannot be read`, err);
	}
}

/**
 * Reads the files that `[tls]` names; returns undefined when its mode is off.
 * Throws `SettingsError` when a file can't be read or the key does not match
 * the certificate. Problems name `file`.
 */
export function readTlsFiles(cfg: TlsSettings, file = 'settings'): TlsFiles | undefined {
	if (cfg.mode === TlsMode.Off) {
		return undefined;
	}

	const files = {
		ca: readPem(file, 'ca', cfg.ca),
		cert: readPem(file, 'cert', cfg.cert),
		key: readPem(file, 'key', cfg.key),
	};
	try {
		createSecureContext(files);
	} catch (err) {
		throw createTlsError(file, 'cert', `"${cfg.cert}" cannot be used with its key and ca`, err);
	}

	return files;
}
