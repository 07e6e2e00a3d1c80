/**
 * Options shared by all commands, and types of option values.
 */
import {durationForm, parseDuration, parseWholeNumber} from '@bluebellyard/core';
import {formatAddress, parseOrigin, parsePeerAddress} from '@bluebellyard/router';
import {
	extendType, flag, option, optional, string,
} from 'cmd-ts';

const defaultTimeoutMs = 10_000;

function createTextType<T>(displayName: string, expected: string, parse: (text: string) => T | undefined) {
	return extendType(string, {
		displayName,
		async from(text) {
			const value = parse(text);
			if (value === undefined) {
				throw new Error(`"${text}" is malformed; expected ${expected}`);
			}

			return value;
		},
	});
}

function parseAddresses(text: string): string[] | undefined {
	const addresses = text.split(',').map(part => parsePeerAddress(part.trim()));
	return addresses.includes(undefined) ? undefined : addresses.map(address => address ? formatAddress(address) : '');
}

export const wholeNumber = createTextType('n', 'a whole number', parseWholeNumber);

/** Non-empty name of a person, without line breaks. */
export const personName = createTextType('name', 'a name', text => text.trim() === '' || text.includes('\n') ? undefined : text.trim());

/** Options of every command. */
export const commonOptions = {
	log: option({
		long: 'log',
		type: optional(createTextType('url', 'http:// with an IP number and port', parseOrigin)),
		description: 'origin of the log service, such as http://10.0.0.1:7000',
	}),
	instances: option({
		long: 'instances',
		type: createTextType('ip:port,...', 'IP numbers with ports, separated by commas', parseAddresses),
		defaultValue: () => [],
		description: 'control addresses of instances; by default those recorded in the log',
	}),
	settings: option({
		long: 'settings',
		type: optional(string),
		description: 'settings file of an instance, from which the log service is read',
	}),
	timeout: option({
		long: 'timeout',
		type: createTextType('duration', durationForm, parseDuration),
		defaultValue: () => defaultTimeoutMs,
		description: 'longest time to wait for a result',
	}),
	json: flag({long: 'json', description: 'print one JSON object'}),
};

/** Values of the common options. */
export type CommonOptions = {
	readonly log?: string;
	readonly instances: readonly string[];
	readonly settings?: string;
	/** Longest time to wait for a result, in milliseconds. */
	readonly timeout: number;
	readonly json: boolean;
};
