/**
 * Logging of this process: one line per event, prefixed with the part that logs it.
 */
import process from 'node:process';
import loglevel, {type Logger} from 'loglevel';
import {type Clock, systemClock} from '@bluebellyard/core';

/** Lowest level that is written. */
export enum LogLevel {
	Trace = 'trace',
	Debug = 'debug',
	Info = 'info',
	Warn = 'warn',
	Error = 'error',
	Silent = 'silent',
}

/** Format of a log line. */
export enum LogFormat {
	Text = 'text',
	Json = 'json',
}

/** Named values that belong to a log message. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Options of all loggers. */
export type LogOptions = {
	readonly level: LogLevel;
	readonly format: LogFormat;
	readonly clock: Clock;
	/** Called with each line, without a line terminator. */
	readonly write: (line: string) => void;
};

type LogEvent = {
	readonly time: string;
	readonly level: string;
	readonly part: string;
	readonly msg: string;
	readonly fields: LogFields;
};

let options: LogOptions = {
	level: LogLevel.Info,
	format: LogFormat.Text,
	clock: systemClock,
	write(line) {
		process.stderr.write(line + '\n');
	},
};

function formatField(value: unknown): string {
	if (value instanceof Error) {
		return value.message;
	}

	return typeof value === 'string' ? value : JSON.stringify(value) ?? 'undefined';
}

function formatText(event: LogEvent): string {
	const fields = Object.entries(event.fields).map(([name, value]) => ` ${name}=${formatField(value)}`);
	return `${event.time} ${event.level} ${event.part}: ${event.msg}${fields.join('')}`;
}

function formatJson(event: LogEvent): string {
	const {fields, ...rest} = event;
	const line: Record<string, unknown> = {...fields};
	for (const name of Object.keys(line)) {
		if (line[name] instanceof Error) {
			line[name] = line[name].message;
		}
	}

	return JSON.stringify(Object.assign(line, rest));
}

function formatLine(event: LogEvent): string {
	const line = options.format === LogFormat.Json ? formatJson(event) : formatText(event);
	return line.replaceAll('\n', String.raw`\n`).replaceAll('\r', String.raw`\r`);
}

loglevel.methodFactory = (level, _levelNumber, part) => (msg: unknown, fields: LogFields = {}) => {
	const time = options.clock.date().toISOString();
	options.write(formatLine({
		time, level, part: String(part), msg: formatField(msg), fields,
	}));
};

loglevel.setLevel(options.level, false);

/** Changes the options of all loggers, including those created before. */
export function configureLogging(changes: Partial<LogOptions>): void {
	options = {...options, ...changes};
	loglevel.setLevel(options.level, false);
	loglevel.rebuild();
}

/**
 * Returns the logger of a part, such as `log` or `steward`. Its methods take a
 * short sentence and optional `LogFields`.
 */
export function createLogger(part: string): Logger {
	return loglevel.getLogger(part);
}
