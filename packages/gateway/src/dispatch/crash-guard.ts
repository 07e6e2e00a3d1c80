import {
	bodyLengthOf, type Clock, type ReportedCrash, type Suspect,
} from '@bluebellyard/core';
import type {View} from '../view/index.js';
import {fingerprintOf} from './order-fingerprint.js';
import type {Order} from './order.js';

/** Time for which a crash that this instance saw is reported, and applies here without the leader, in milliseconds; longer than an election. */
const ownCrashMs = 10_000;

/** Largest number of own crashes kept at a time. */
const maxOwnCrashes = 64;

type OwnCrash = {
	readonly report: ReportedCrash;
	/** Monotonic milliseconds. */
	readonly at: number;
};

/** Recognizes requests under which targets ended, by what the instances together know and by what this one saw. */
export class CrashGuard {
	private ownCrashes: OwnCrash[] = [];
	/** Requests of own crashes that the leader has not published yet, with the time of the crash. */
	private readonly unpublished = new Map<string, number>();
	private readonly view: View;
	private readonly clock: Clock;

	constructor(view: View, clock: Clock) {
		this.view = view;
		this.clock = clock;
		view.onChange(() => {
			for (const print of this.unpublished.keys()) {
				if (view.suspects.has(print)) {
					this.unpublished.delete(print);
				}
			}
		});
	}

	/** Records that a target ended while requests of this instance ran there. */
	recordCrash(report: ReportedCrash): void {
		const now = this.clock.now();
		this.ownCrashes.push({report, at: now});
		this.ownCrashes.splice(0, this.ownCrashes.length - maxOwnCrashes);
		for (const print of report.fingerprints) {
			if (!this.view.suspects.has(print)) {
				this.unpublished.set(print, now);
			}
		}
	}

	/** Takes back the crash of a target that answers. */
	retractCrash(target: string): void {
		const retracted = this.ownCrashes.filter(({report}) => report.target === target);
		this.ownCrashes = this.ownCrashes.filter(({report}) => report.target !== target);
		for (const print of retracted.flatMap(({report}) => report.fingerprints)) {
			this.unpublished.delete(print);
		}
	}

	/** Returns the crashes that this instance saw recently, for the leader. */
	reports(): ReportedCrash[] {
		this.expire();
		return this.ownCrashes.map(({report}) => report);
	}

	/** Returns the fingerprint of an order under which targets ended; undefined for any other order. Hashes only orders whose body has the length of a suspect's. */
	findSuspect(order: Order): string | undefined {
		const {view, unpublished} = this;
		this.expire();
		const {length} = order.body;
		if (!view.suspectBodyLengths.has(length) && ![...unpublished.keys()].some(print => bodyLengthOf(print) === length)) {
			return undefined;
		}

		const print = fingerprintOf(order);
		return view.suspects.has(print) || unpublished.has(print) ? print : undefined;
	}

	/** Returns whether a request is still suspected. */
	isSuspect(print: string): boolean {
		return this.view.suspects.has(print) || this.unpublished.has(print);
	}

	/** Returns what the instances together know of a suspect; undefined if the leader has not published it, or has cleared it. */
	published(print: string): Suspect | undefined {
		return this.view.suspects.get(print);
	}

	private expire(): void {
		if (this.ownCrashes.length === 0 && this.unpublished.size === 0) {
			return;
		}

		const now = this.clock.now();
		this.ownCrashes = this.ownCrashes.filter(({at}) => now - at <= ownCrashMs);
		for (const [print, at] of this.unpublished) {
			if (now - at > ownCrashMs) {
				this.unpublished.delete(print);
			}
		}
	}
}
