import type {Clock} from '@bluebellyard/core';
import type {Telemetry} from '../telemetry/index.js';
import type {View} from '../view/index.js';

/** By which way an instance learned that its configuration is the newest one. */
export enum ConfigSource {
	/** From the changes that a leader sent. */
	Leader = 'leader',
	/** From its own reading of the store. */
	Store = 'store',
}

/** Options of `ConfigAge`. */
export type ConfigAgeOptions = {
	readonly view: Pick<View, 'configVersion'>;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
};

/**
 * How long ago the configuration of this instance was known to be the newest one in the store, whoever read it there.
 * That the leader is heard, or that it reads other records, does not count.
 */
export class ConfigAge {
	private readonly options: ConfigAgeOptions;
	/** Monotonic time at which the configuration was last known to be the newest one; at first that of the start. */
	private newestAt: number;
	private version: number | undefined;

	constructor(options: ConfigAgeOptions) {
		this.options = options;
		this.newestAt = options.clock.now();
	}

	/** Time since the configuration was last known to be the newest one, in milliseconds. */
	get ms(): number {
		return this.options.clock.now() - this.newestAt;
	}

	/**
	 * Records that the configuration was the newest one at a monotonic time, if that is known. Earlier times than a known
	 * one have no effect. Logs a configuration that took effect since the last call, and how late it may be.
	 */
	confirm(newestAt: number | undefined, source: ConfigSource, fields: {readonly applyMs?: number} = {}): void {
		const {view, telemetry} = this.options;
		const {configVersion} = view;
		if (configVersion !== this.version) {
			telemetry.info('config', 'A configuration took effect at this instance.', {
				version: configVersion, former: this.version, source, unconfirmedMs: Math.round(this.ms), ...fields,
			});
			telemetry.metrics.configVersion.set(configVersion ?? 0);
			this.version = configVersion;
		}

		this.newestAt = Math.max(this.newestAt, newestAt ?? Number.NEGATIVE_INFINITY);
	}
}
