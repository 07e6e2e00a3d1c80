/**
 * Validated settings of one instance. Times are in milliseconds, sizes in bytes.
 */
import type {LogFormat, LogLevel} from '../logging/index.js';
import type {TlsMode} from './schema.js';
import type {Address} from './units.js';

/** Identity of this instance. */
export type InstanceSettings = {
	readonly name: string;
	readonly domain: string;
	readonly region?: string;
};

/** Addresses on which this process listens. */
export type ListenSettings = {
	readonly callers: Address;
	readonly internal: Address;
	readonly peers: Address;
	readonly control: Address;
};

/** Origins of the platform's services, such as `http://10.0.0.1:7000`. */
export type PlatformSettings = {
	readonly log: string;
	readonly membership: string;
	/** Peer addresses of instances from which to fetch the state while the log is unavailable. */
	readonly peers?: readonly Address[];
	/** Time for which the log service retains records, in milliseconds. */
	readonly retention: number;
};

/** Paths of PEM files; all three are present unless the mode is off. */
export type TlsSettings = {
	readonly mode: TlsMode;
	readonly ca?: string;
	readonly cert?: string;
	readonly key?: string;
};

/** Leases and heartbeats, in milliseconds. */
export type TimingSettings = {
	readonly lease: number;
	readonly heartbeat: number;
	readonly suspect: number;
	readonly right: number;
	/** Infinite when an isolated failure domain keeps its keys without a time limit. */
	readonly isolation: number;
	/** Largest relative difference between the rates of two clocks, as a fraction: 0.01 is one percent. */
	readonly drift: number;
};

/** Limits on callers and connections. */
export type LimitSettings = {
	/** Largest sum of what is held for callers and other instances, in bytes. */
	readonly held: number;
	/** Largest number of connections of callers. */
	readonly callers: number;
	/** Largest size of a request body, in bytes. */
	readonly body: number;
	/** Largest size of a request head, in bytes. */
	readonly headers: number;
	/** Largest number of waiting requests, over all targets. */
	readonly queue: number;
	/** Time within which a caller must send the head of a request, in milliseconds. */
	readonly headersTimeout: number;
	/** Time within which a caller must send a complete request, in milliseconds. */
	readonly bodyTimeout: number;
	/** Time after which an idle caller connection is closed, in milliseconds. */
	readonly idleTimeout: number;
	/** Largest number of connections to one target. */
	readonly connections: number;
};

/** Level and format of the logs. */
export type LogSettings = {
	readonly level: LogLevel;
	readonly format: LogFormat;
};

/** Destination and prefix of the counters. */
export type MetricsSettings = {
	/** Absent when counters are kept in memory only. */
	readonly statsd?: Address;
	readonly prefix: string;
};

/** All settings of one instance. */
export type Settings = {
	readonly instance: InstanceSettings;
	readonly listen: ListenSettings;
	readonly platform: PlatformSettings;
	readonly tls: TlsSettings;
	readonly timing: TimingSettings;
	readonly limits: LimitSettings;
	readonly log: LogSettings;
	readonly metrics: MetricsSettings;
};
