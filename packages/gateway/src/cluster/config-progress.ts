import type {Telemetry} from '../telemetry/index.js';

/** Time after a change of the configuration, or the start of a term, in which instances that may lack the configuration are pinged more often, in milliseconds: the longest time within which one must be in force. */
const configDelayMs = 3000;

/** Most instances that a log line names. */
const maxNames = 5;

/** The configuration of a leader and the instances that it pings. */
export type ConfigTarget = {
	/** Sequence number of the configuration in the store of the leader. */
	readonly seq: number;
	readonly version: number | undefined;
	/** Returns the names of the other instances. */
	readonly names: () => readonly string[];
	/** Returns whether an instance has answered recently. */
	readonly isAnswering: (name: string) => boolean;
};

/** Tracks which instances have confirmed the newest configuration of a leader. Times are monotonic milliseconds. */
export class ConfigProgress {
	private seq = -1;
	private version: number | undefined;
	private changedAt = Number.NEGATIVE_INFINITY;
	private confirmedAt = Number.NEGATIVE_INFINITY;
	/** Name of the instance that confirmed it last. */
	private last: string | undefined;
	private isChecked = false;
	/** Names of instances that have not confirmed it. */
	private pending = new Set<string>();
	private readonly telemetry: Telemetry;

	constructor(telemetry: Telemetry) {
		this.telemetry = telemetry;
	}

	/** Starts to track a configuration if it is another one than before. After the time for it, instances that do not answer no longer count. */
	update({seq, version, names, isAnswering}: ConfigTarget, now: number): void {
		if (seq !== this.seq) {
			this.seq = seq;
			this.version = version;
			this.changedAt = now;
			this.confirmedAt = now;
			this.last = undefined;
			this.isChecked = false;
			this.setPending(version === undefined ? [] : names());
		} else if (!this.isChecked && this.pending.size > 0 && now - this.changedAt > configDelayMs) {
			this.isChecked = true;
			this.setPending([...this.pending].filter(name => isAnswering(name)));
			if (this.pending.size === 0) {
				this.reportInForce();
			} else {
				this.telemetry.warn('leader', 'A configuration is not confirmed by all instances that answer.', {
					version, missing: this.pending.size, instances: [...this.pending].slice(0, maxNames),
				});
			}
		}
	}

	/** Returns whether an instance may lack a configuration that must soon be in force everywhere. */
	mayLack(name: string, now: number): boolean {
		return this.pending.has(name) && now - this.changedAt < configDelayMs;
	}

	/** Records that an instance has the view of this leader up to a sequence number. */
	confirm(name: string, seq: number, now: number): void {
		if (seq < this.seq || !this.pending.has(name)) {
			return;
		}

		this.confirmedAt = now;
		this.last = name;
		this.pending.delete(name);
		this.telemetry.metrics.configPending.set(this.pending.size);
		if (this.pending.size === 0) {
			this.reportInForce();
		}
	}

	/** Ends the tracking, as this instance no longer leads. */
	stop(): void {
		this.setPending([]);
	}

	private reportInForce(): void {
		this.telemetry.info('leader', 'A configuration is in force at all instances that answer.', {
			version: this.version, tookMs: Math.round(this.confirmedAt - this.changedAt), last: this.last,
		});
	}

	private setPending(names: readonly string[]): void {
		this.pending = new Set(names);
		this.telemetry.metrics.configPending.set(this.pending.size);
	}
}
