/**
 * The schema of the settings file: sections, keys, defaults and bounds.
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

/** Who may connect to the ports between instances. */
export enum TlsMode {
	/** Both sides show a certificate. */
	Mutual = 'mutual',
	/** No encryption and no proof of identity. */
	Off = 'off',
}

const addressForm = 'an IP number and port such as 10.0.0.1:8080';
const originForm = 'http:// with an IP number and port such as http://10.0.0.1:7000';
const maxDriftFraction = 0.1;
const maxDurationMs = 3_600_000;
const maxRetentionMs = 30 * 24 * 3_600_000;
const maxBodyBytes = 1_073_741_824;
const maxHeaderBytes = 1_048_576;
const maxCount = 1_000_000;

const readName = (text: string) => isName(text) ? text : undefined;
const readText = (text: string) => text === '' ? undefined : text;

function within<T extends number>(value: T | undefined, min: number, max: number): T | undefined {
	return value !== undefined && value >= min && value <= max ? value : undefined;
}

function nameField(about: string) {
	return field({meaning: about, expected: nameForm}, readName);
}

function listenField(about: string) {
	return field({meaning: about, expected: `${addressForm}; no host name or wildcard`}, parseAddress);
}

function originField(about: string) {
	return field({meaning: about, expected: originForm}, parseOrigin);
}

function durationField(about: string, defaultText: string, minMs = 1, maxMs = maxDurationMs) {
	const expected = `${durationForm}, from ${formatDuration(minMs)} to ${formatDuration(maxMs)}`;
	return field({meaning: about, expected, default: defaultText}, text => within(parseDuration(text), minMs, maxMs));
}

function sizeField(about: string, defaultText: string, maxBytes: number) {
	const expected = `a size such as 16KiB or 1MiB, from 1B to ${maxBytes}B`;
	return field({meaning: about, expected, default: defaultText}, text => within(parseSize(text), 1, maxBytes));
}

function countField(about: string, defaultText: string) {
	const expected = `a whole number from 1 to ${maxCount}`;
	return field({meaning: about, expected, default: defaultText}, text => within(parseWholeNumber(text), 1, maxCount));
}

function enumField<T extends string>(about: string, values: readonly T[], defaultText: T) {
	const byWord = new Map<string, T>(values.map(value => [value, value]));
	return field({meaning: about, expected: values.join(' or '), default: defaultText}, text => byWord.get(text));
}

function pathField(about: string) {
	return optionalField({meaning: about, expected: 'the path of a PEM file'}, readText);
}

const instance = z.strictObject({
	name: nameField('Name of this instance, its own among all instances.'),
	domain: nameField('Failure domain that this instance runs in.'),
	region: optionalField({meaning: 'Region of the failure domain.', expected: nameForm}, readName),
}).describe('Who this instance is.');

const listen = z.strictObject({
	callers: listenField('Where callers send their requests.'),
	internal: listenField('Where other instances send forwarded requests.'),
	peers: listenField('Where other instances send heartbeats.'),
	control: listenField('Where the operators\' command asks for status.'),
}).describe('Addresses of this process. Port 0 takes any free port.');

const platform = z.strictObject({
	log: originField('The log service.'),
	membership: originField('The membership list.'),
	peers: optionalField({
		meaning: 'Addresses for peers of some other instances; one that starts while the log service is down takes its state from them.',
		expected: 'IP numbers and ports such as 10.0.0.1:8003, 10.0.0.2:8003',
	}, parsePeerAddresses),
	retention: durationField('Time for which the log service keeps records; snapshots are written well within it.', '24h', 1000, maxRetentionMs),
}).describe('The platform\'s services.');

const tls = z.strictObject({
	mode: enumField('Whether instances prove their identity to each other.', Object.values(TlsMode), TlsMode.Mutual),
	ca: pathField('Certificates of the authorities that sign instances. Needed unless mode is off.'),
	cert: pathField('Certificate of this instance. Needed unless mode is off.'),
	key: pathField('Private key of this instance. Needed unless mode is off.'),
}).describe('Identity between instances.');

const timing = z.strictObject({
	lease: durationField('Time for which a target may serve its keys after a renewal.', '500ms', 50),
	heartbeat: durationField('Time between two heartbeats to another instance.', '100ms', 10),
	suspect: durationField('Silence after which another instance is suspected.', '300ms', 10),
	right: durationField('Time for which a heartbeat answer entitles an instance to act for its targets.', '300ms', 10),
	isolation: field({
		meaning: 'Time for which a failure domain without any contact goes on serving its keys; '
			+ 'with hold it never stops, and its keys wait for it.',
		expected: `${durationForm}, or hold`,
		default: '15s',
	}, text => text === 'hold' ? Number.POSITIVE_INFINITY : within(parseDuration(text), 1, maxDurationMs)),
	drift: field({
		meaning: 'Largest difference in the speed of two clocks.',
		expected: 'a percentage from 0% to 10%',
		default: '1%',
	}, text => within(parsePercent(text), 0, maxDriftFraction)),
}).describe('Leases and heartbeats. The same on all instances.');

const limits = z.strictObject({
	body: sizeField('Largest body of a request.', '1MiB', maxBodyBytes),
	headers: sizeField('Largest head of a request.', '16KiB', maxHeaderBytes),
	queue: countField('Requests that may wait in this instance, over all targets.', '1024'),
	'headers-timeout': durationField('Time in which a caller must send the head of a request.', '5s'),
	'body-timeout': durationField('Time in which a caller must send a whole request.', '10s'),
	'idle-timeout': durationField('Time after which an idle connection of a caller is closed.', '60s'),
	connections: countField('Connections to one target.', '32'),
}).describe('Bounds on callers and connections.');

const log = z.strictObject({
	level: enumField('Lowest level that is written.', Object.values(LogLevel), LogLevel.Info),
	format: enumField('Form of a log line.', Object.values(LogFormat), LogFormat.Text),
}).describe('Logs, written to standard error.');

const metrics = z.strictObject({
	statsd: field({
		meaning: 'Where counters are sent by UDP.',
		expected: `${addressForm}, or off`,
		default: 'off',
	}, text => text === 'off' ? 'off' as const : parsePeerAddress(text)),
	prefix: field({
		meaning: 'Stands before the name of each counter, with a dot between.',
		expected: nameForm,
		default: 'bluebellyard',
	}, readName),
}).describe('Counters and gauges.');

/** Sections of a settings file, in the order of the page about them. */
export const sections = {
	instance, listen, platform, tls, timing, limits, log, metrics,
};

/** Schema of a parsed INI file. */
export const settingsSchema = z.strictObject(sections);

/** What the schema gives for a file without problems. */
export type ParsedSettings = z.output<typeof settingsSchema>;
