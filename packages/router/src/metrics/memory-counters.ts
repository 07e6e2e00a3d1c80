import {Counters} from './counters.js';

/** Counters kept in memory only; used in tests and when no statsd address is set. */
export class MemoryCounters extends Counters {
	private readonly sums = new Map<string, number>();
	private readonly gauges = new Map<string, number>();

	/** Returns the value of a counter or gauge; 0 when it was never set. */
	value(name: string): number {
		return this.sums.get(name) ?? this.gauges.get(name) ?? 0;
	}

	/** Returns all counters and gauges that were set, by name. */
	values(): Record<string, number> {
		return Object.fromEntries([...this.sums, ...this.gauges]);
	}

	override async close(): Promise<void> {
		// There is nothing to send.
	}

	protected override add(name: string, events: number): void {
		this.sums.set(name, (this.sums.get(name) ?? 0) + events);
	}

	protected override set(name: string, value: number): void {
		this.gauges.set(name, value);
	}
}
