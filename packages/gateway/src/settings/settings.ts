/**
 * Settings of the gateway: an INI file, checked as a whole before anything starts.
 */
import {readFileSync} from 'node:fs';
import {parse} from 'ini';
import VError from 'verror';
import {z} from 'zod';

/** An IP number with a port. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

/** Thrown for settings that can't be used. */
export class GatewaySettingsError extends VError {
	constructor(message: string, cause?: Error) {
		super({cause}, '%s', message);
	}
}

const addressPattern = /^(?<host>\d{1,3}(?:\.\d{1,3}){3}):(?<port>\d{1,5})$/v;
const maxPort = 65_535;

const address = z.string().transform((text, ctx): Address => {
	const groups = addressPattern.exec(text)?.groups;
	const port = Number(groups?.port);
	if (groups === undefined || port > maxPort) {
		ctx.addIssue({code: 'custom', message: 'needs an IP number and port such as 10.0.0.1:8080'});
		return z.NEVER;
	}

	return {host: groups.host, port};
});

function seconds(fallback: number): z.ZodType<number> {
	return z.coerce.number().positive().max(3600).default(fallback).transform(value => value * 1000);
}

const schema = z.object({
	instance: z.object({
		name: z.string().min(1),
		domain: z.string().min(1),
		/** Part of a core that it may use. */
		'processor-share': z.coerce.number().positive().default(1),
		/** How many times as fast as a usual core that part is. */
		'processor-speed': z.coerce.number().positive().default(1),
	}),
	listen: z.object({
		callers: address,
		health: address,
		peers: address,
		/** Where other instances reach `peers`, when that is another address. */
		'peers-advertised': address.optional(),
		metrics: address.optional(),
	}),
	keys: z.object({
		/** Longest hold that targets take, in seconds. */
		'hold-max': seconds(10),
	}).default({'hold-max': 10_000}),
	retries: z.object({
		/** Requests that may be sent again, in relation to all, over all instances. */
		ratio: z.coerce.number().min(0).max(1).default(0.2),
		/** Requests that may be sent again besides, over all instances. */
		extra: z.coerce.number().min(0).default(50),
		/** Span over which both are counted, in seconds. */
		window: seconds(10),
	}).default({ratio: 0.2, extra: 50, window: 10_000}),
	shutdown: z.object({
		/** Time until the process is killed, in seconds. */
		grace: seconds(6),
	}).default({grace: 6000}),
	/** What only the adapter of the platform knows. */
	platform: z.record(z.string(), z.string()).default({}),
});

/** Checked settings; all times in milliseconds. */
export type GatewaySettings = z.infer<typeof schema>;

/** Checks the text of a settings file. Throws `GatewaySettingsError` naming each setting that is wrong. */
export function parseSettings(text: string): GatewaySettings {
	const result = schema.safeParse(parse(text));
	if (result.success) {
		return result.data;
	}

	const problems = result.error.issues.map(issue => `[${issue.path.slice(0, -1).join('.')}] ${String(issue.path.at(-1))}: ${issue.message}`);
	throw new GatewaySettingsError(`settings are wrong: ${problems.join('; ')}`);
}

/** Reads and checks a settings file. */
export function loadSettings(path: string): GatewaySettings {
	let text: string;
	try {
		text = readFileSync(path, 'utf8');
	} catch (err) {
		throw new GatewaySettingsError(`can not read settings ${path}`, err instanceof Error ? err : new Error(String(err)));
	}

	return parseSettings(text);
}
