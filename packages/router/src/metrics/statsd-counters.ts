import {isIPv6} from 'node:net';
import {StatsD} from 'hot-shots';
import {Counters} from './counters.js';

/** Keeps a datagram within one Ethernet frame. */
const maxDatagramBytes = 1400;
const flushIntervalMs = 1000;

/** Options of `StatsdCounters`. */
export type StatsdOptions = {
	/** IP number. */
	readonly host: string;
	readonly port: number;
	/** Prepended to every name, including the separating dot. */
	readonly prefix: string;
	/** Called for each failed send. */
	readonly onError?: (err: Error) => void;
};

/** Counters aggregated in this process and sent to statsd over UDP every second. */
export class StatsdCounters extends Counters {
	private readonly client: StatsD;

	constructor(options: StatsdOptions) {
		super();
		const onError = options.onError ?? (() => undefined);
		this.client = new StatsD({
			host: options.host,
			port: options.port,
			prefix: options.prefix,
			protocol: 'udp',
			udpSocketOptions: {type: isIPv6(options.host) ? 'udp6' : 'udp4'},
			aggregation: true,
			maxBufferSize: maxDatagramBytes,
			bufferFlushInterval: flushIntervalMs,
			errorHandler: onError,
		});
	}

	override async close(): Promise<void> {
		return new Promise(resolve => {
			this.client.close(() => {
				resolve();
			});
		});
	}

	protected override add(name: string, events: number): void {
		this.client.increment(name, events);
	}

	protected override set(name: string, value: number): void {
		this.client.gauge(name, value);
	}
}
