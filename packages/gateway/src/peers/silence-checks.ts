import type {Clock} from '@bluebellyard/core';

/** Interval between checks for received data, in milliseconds. */
export const checkIntervalMs = 100;

/** A connection whose other side may fall silent while calls are open. */
export type CheckedLink = {
	/** Acts on silence of the other side. Returns whether further checks are needed. */
	checkSilence(): boolean;
};

/** Checks the connections with open calls by one timer; with a timer for each, calls to many instances would wake the process for each of them. */
export class SilenceChecks {
	/** Clock by which the connections measure silence. */
	readonly clock: Clock;
	private readonly links = new Set<CheckedLink>();
	private timer: NodeJS.Timeout | undefined;

	constructor(clock: Clock) {
		this.clock = clock;
	}

	/** Has a connection checked until it needs no further checks. */
	add(link: CheckedLink): void {
		this.links.add(link);
		this.timer ??= setInterval(() => {
			this.check();
		}, checkIntervalMs);
	}

	private check(): void {
		for (const link of this.links) {
			if (!link.checkSilence()) {
				this.links.delete(link);
			}
		}

		if (this.links.size === 0) {
			clearInterval(this.timer);
			this.timer = undefined;
		}
	}
}
