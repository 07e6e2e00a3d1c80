/**
 * Settings of the gateway: an INI file that is validated completely before the gateway starts.
 */
import {readFileSync} from 'node:fs';
import {readFile, stat} from 'node:fs/promises';
import {BalancingMode, ReservationMode} from '@bluebellyard/core';
import {parse} from 'ini';
import VError from 'verror';
import {z} from 'zod';

/** An IPv4 address with a port. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

/** Whether the contacts of a leader bound the time for which it grants keys. */
export enum ContactBoundMode {
	On = 'on',
	Off = 'off',
}

/** Whether instances may send requests of routes with large responses to targets themselves when the steward permits it. */
export enum DirectMode {
	Auto = 'auto',
	Off = 'off',
}

/** Thrown for settings that can't be read or are invalid. */
export class GatewaySettingsError extends VError {
	constructor(message: string, cause?: Error) {
		super({cause}, '%s', message);
	}
}

/** Largest settings file that a running instance checks, in bytes; parsing blocks the event loop. */
const maxCheckedBytes = 65_536;

const addressPattern = /^(?<host>\d{1,3}(?:\.\d{1,3}){3}):(?<port>\d{1,5})$/v;
const maxPort = 65_535;

const address = z.string().transform((text, ctx): Address => {
	const groups = addressPattern.exec(text)?.groups;
	const port = Number(groups?.port);
	if (groups === undefined || port > maxPort) {
		ctx.addIssue({code: 'custom', message: 'must be an IPv4 address and port such as 10.0.0.1:8080'});
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
		/** Share of a processor core that the instance may use. */
		'processor-share': z.coerce.number().positive().default(1),
		/** Speed of that share relative to a standard core. */
		'processor-speed': z.coerce.number().positive().default(1),
		/** Bandwidth of its network link, in Mbit/s; unknown if it is absent. */
		link: z.coerce.number().positive().optional(),
	}),
	listen: z.object({
		callers: address,
		health: address,
		peers: address,
		/** Address under which other instances reach `peers`, if it differs. */
		'peers-advertised': address.optional(),
		metrics: address.optional(),
	}),
	keys: z.object({
		/** Longest lease that targets accept, in seconds. */
		'hold-max': seconds(10),
	}).default({'hold-max': 10_000}),
	targets: z.object({
		/** Interval at which each target writes its entry in the store again, in seconds. */
		heartbeat: seconds(1),
		/** IP address from which connections to targets are opened; the system selects one if it is absent. */
		'local-address': z.ipv4().optional(),
	}).default({heartbeat: 1000}),
	retries: z.object({
		/** Retries allowed in relation to the number of requests, over all instances. */
		ratio: z.coerce.number().min(0).max(1).default(0.2),
		/** Retries allowed in addition, over all instances. */
		extra: z.coerce.number().min(0).default(50),
		/** Window over which both are counted, in seconds. */
		window: seconds(10),
	}).default({ratio: 0.2, extra: 50, window: 10_000}),
	balancing: z.object({
		/** How a failure domain is selected for a request to a service that is not sharded. */
		mode: z.enum(BalancingMode).default(BalancingMode.Auto),
	}).default({mode: BalancingMode.Auto}),
	responses: z.object({
		/** Whether large responses go from the target to the receiving instance without their steward. */
		direct: z.enum(DirectMode).default(DirectMode.Auto),
	}).default({direct: DirectMode.Auto}),
	admission: z.object({
		/** Whether queues reserve capacity for callers that they reject. */
		reservations: z.enum(ReservationMode).default(ReservationMode.Off),
	}).default({reservations: ReservationMode.Off}),
	leader: z.object({
		/** Whether a leader grants keys only while followers answer it, and the next leader waits no longer than that. */
		'contact-bound': z.enum(ContactBoundMode).default(ContactBoundMode.Off),
	}).default({'contact-bound': ContactBoundMode.Off}),
	overload: z.object({
		/** CPU time in cores below which the instance rejects requests while it is short of it; 0 turns this off. */
		cores: z.coerce.number().min(0).default(0),
	}).default({cores: 0}),
	process: z.object({
		/** Memory of the process, in MiB; a share of it bounds what is held for callers, targets and other instances. */
		memory: z.coerce.number().min(64).default(350),
		/** Number of descriptors that the process may open. */
		descriptors: z.coerce.number().int().min(256).default(4100),
	}).default({memory: 350, descriptors: 4100}),
	shutdown: z.object({
		/** Time from a stop request until the process is killed, in seconds. */
		grace: seconds(6),
	}).default({grace: 6000}),
	/** Settings that are read only by the adapter of the platform. */
	platform: z.record(z.string(), z.string()).default({}),
});

/** Validated settings; all times in milliseconds. */
export type GatewaySettings = z.infer<typeof schema>;

/** Parses and validates the text of a settings file. Throws a `GatewaySettingsError` that names each invalid setting. */
export function parseSettings(text: string): GatewaySettings {
	const result = schema.safeParse(parse(text));
	if (result.success) {
		return result.data;
	}

	const problems = result.error.issues.map(issue => `[${issue.path.slice(0, -1).join('.')}] ${String(issue.path.at(-1))}: ${issue.message}`);
	throw new GatewaySettingsError(`invalid settings: ${problems.join('; ')}`);
}

/** Reads, parses and validates a settings file. Throws a `GatewaySettingsError`. */
export function loadSettings(path: string): GatewaySettings {
	let text: string;
	try {
		text = readFileSync(path, 'utf8');
	} catch (err) {
		throw toReadError(path, err);
	}

	return parseSettings(text);
}

/** Checks a settings file while the instance serves callers, without blocking the event loop for long. Rejects with a `GatewaySettingsError` if the file is not a regular one, is too large, or can't be read or is invalid. */
export async function checkSettings(path: string): Promise<void> {
	let text: string;
	try {
		// Opening a pipe would wait for its writer.
		const file = await stat(path);
		if (!file.isFile() || file.size > maxCheckedBytes) {
			throw new Error(`not a regular file of at most ${maxCheckedBytes} bytes`);
		}

		text = await readFile(path, 'utf8');
	} catch (err) {
		throw toReadError(path, err);
	}

	parseSettings(text);
}

function toReadError(path: string, err: unknown): GatewaySettingsError {
	return new GatewaySettingsError(`cannot read settings file ${path}`, err instanceof Error ? err : new Error(String(err)));
}
