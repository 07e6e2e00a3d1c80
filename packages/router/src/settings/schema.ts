/**
 * Schema of the settings file: sections, keys, defaults and bounds.
 */
import {
	durationForm, formatDuration, isName, nameForm, parseDuration, parseWholeNumber,
} from '@bluebellyard/core';
import {z} from 'zod';
import {LogFormat, LogLevel} from '../logging/index.js';
import {field, optionalField} from './field.js';
import {
	parseAddress, parseOrigin, parsePeerAddress, parsePeerAddresses, parsePercent, parseSize,
} from './units.js';

/** Authentication on the ports between instances. */
export enum TlsMode {
	/** Both sides present a certificate. */
	Mutual = 'mutual',
	/** Neither encryption nor authentication. */
	Off = 'off',
}

const addressForm = 'an IP number and port such as 10.0.0.1:8080';
const originForm = 'http:// with an IP number and port such as http://10.0.0.1:7000';
const maxDriftFraction = 0.1;
const maxDurationMs = 3_600_000;
const maxRetentionMs = 30 * 24 * 3_600_000;
const maxBodyBytes = 1_073_741_824;
const maxHeaderBytes = 1_048_576;
const maxHeldBytes = 68_719_476_736;
const maxCount = 1_000_000;

const parseName = (text: string) => isName(text) ? text : undefined;
const parseText = (text: string) => text === '' ? undefined : text;

function within<T extends number>(value: T | undefined, min: number, max: number): T | undefined {
	return value !== undefined && value >= min && value <= max ? value : undefined;
}

function nameField(meaning: string) {
	return field({meaning, expected: nameForm}, parseName);
}

function listenField(meaning: string) {
	return field({meaning, expected: `${addressForm}; no host name or wildcard`}, parseAddress);
}

function originField(meaning: string) {
	return field({meaning, expected: originForm}, parseOrigin);
}

function durationField(meaning: string, defaultText: string, minMs = 1, maxMs = maxDurationMs) {
	const expected = `${durationForm}, from ${formatDuration(minMs)} to ${formatDuration(maxMs)}`;
	return field({meaning, expected, default: defaultText}, text => within(parseDuration(text), minMs, maxMs));
}

function sizeField(meaning: string, defaultText: string, maxBytes: number) {
	const expected = `a size such as 16KiB or 1MiB, from 1B to ${maxBytes}B`;
	return field({meaning, expected, default: defaultText}, text => within(parseSize(text), 1, maxBytes));
}

function countField(meaning: string, defaultText: string) {
	const expected = `a whole number from 1 to ${maxCount}`;
	return field({meaning, expected, default: defaultText}, text => within(parseWholeNumber(text), 1, maxCount));
}

function enumField<T extends string>(meaning: string, values: readonly T[], defaultText: T) {
	const byText = new Map<string, T>(values.map(value => [value, value]));
	return field({meaning, expected: values.join(' or '), default: defaultText}, text => byText.get(text));
}

function pathField(meaning: string) {
	return optionalField({meaning, expected: 'the path of a PEM file'}, parseText);
}

const instance = z.strictObject({
	name: nameField('Name of this instance, unique among all instances.'),
	domain: nameField('Failure domain in which this instance runs.'),
	region: optionalField({meaning: 'Region of the failure domain.', expected: nameForm}, parseName),
}).describe('Identity of this instance.');

const listen = z.strictObject({
	callers: listenField('Address for requests of callers.'),
	internal: listenField('Address for requests that other instances forward.'),
	peers: listenField('Address for heartbeats and other calls of instances.'),
	control: listenField('Address for status requests of the operators\' command.'),
}).describe('Addresses on which this process listens. Port 0 selects any free port.');

const platform = z.strictObject({
	log: originField('Origin of the log service.'),
	membership: originField('Origin of the membership list service.'),
	peers: optionalField({
		meaning: 'Peer addresses of some other instances. An instance that starts while the log service is unavailable fetches its state from them.',
		expected: 'IP numbers and ports such as 10.0.0.1:8003, 10.0.0.2:8003',
	}, parsePeerAddresses),
	retention: durationField('Time for which the log service retains records. Snapshots are written at shorter intervals.', '24h', 1000, maxRetentionMs),
}).describe('Services of the platform.');

const tls = z.strictObject({
	mode: enumField('Whether instances authenticate each other with certificates.', Object.values(TlsMode), TlsMode.Mutual),
	ca: pathField('Certificates of the authorities that sign instance certificates. Required unless mode is off.'),
	cert: pathField('Certificate of this instance. Required unless mode is off.'),
	key: pathField('Private key of this instance. Required unless mode is off.'),
}).describe('Authentication between instances.');

const timing = z.strictObject({
	lease: durationField('Time for which a target may serve its keys after its lease was renewed.', '500ms', 50),
	heartbeat: durationField('Interval between two heartbeats to another instance.', '100ms', 10),
	suspect: durationField('Time without contact after which another instance is suspected to have failed.', '300ms', 10),
	right: durationField('Time for which the answer to a heartbeat entitles an instance to act for its targets.', '300ms', 10),
	isolation: field({
		meaning: 'Time for which a failure domain without any contact to the outside keeps serving its keys. '
			+ 'With hold it never stops, and no other domain takes its keys over.',
		expected: `${durationForm}, or hold`,
		default: '15s',
	}, text => text === 'hold' ? Number.POSITIVE_INFINITY : within(parseDuration(text), 1, maxDurationMs)),
	drift: field({
		meaning: 'Largest relative difference between the rates of two clocks.',
		expected: 'a percentage from 0% to 10%',
		default: '1%',
	}, text => within(parsePercent(text), 0, maxDriftFraction)),
}).describe('Leases and heartbeats. All instances must have the same values.');

const limits = z.strictObject({
	body: sizeField('Largest size of a request body.', '1MiB', maxBodyBytes),
	headers: sizeField('Largest size of a request head.', '16KiB', maxHeaderBytes),
	held: sizeField('Largest sum of what the instance holds for callers and other instances: bodies, answers and connections. At least a body of the largest size.', '96MiB', maxHeldBytes),
	callers: countField('Largest number of connections of callers. Beyond it one on which no request runs is closed for each new one.', '3000'),
	queue: countField('Largest number of requests that wait in this instance, over all targets.', '1024'),
	'headers-timeout': durationField('Time within which a caller must send the head of a request.', '5s'),
	'body-timeout': durationField('Time within which a caller must send a complete request.', '10s'),
	'idle-timeout': durationField('Time after which an idle caller connection is closed.', '60s'),
	connections: countField('Largest number of connections to one target.', '32'),
}).describe('Limits on callers and connections.');

const log = z.strictObject({
	level: enumField('Lowest level that is written.', Object.values(LogLevel), LogLevel.Info),
	format: enumField('Format of a log line.', Object.values(LogFormat), LogFormat.Text),
}).describe('Logs, written to standard error.');

const metrics = z.strictObject({
	statsd: field({
		meaning: 'Address to which counters are sent over UDP.',
		expected: `${addressForm}, or off`,
		default: 'off',
	}, text => text === 'off' ? 'off' as const : parsePeerAddress(text)),
	prefix: field({
		meaning: 'Prefix of the name of each counter, separated from it by a dot.',
		expected: nameForm,
		default: 'bluebellyard',
	}, parseName),
}).describe('Counters and gauges.');

/** Sections of a settings file, in the order of the settings page. */
export const sections = {
	instance, listen, platform, tls, timing, limits, log, metrics,
};

/** Schema of a parsed INI file. */
export const settingsSchema = z.strictObject(sections);

/** Output of the schema for a valid file. */
export type ParsedSettings = z.output<typeof settingsSchema>;
