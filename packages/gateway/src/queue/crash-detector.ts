import {
	AttemptOutcome, RunLedger, TargetPhase, type Clock, type ReportedCrash,
} from '@bluebellyard/core';
import {fingerprintOf} from '../dispatch/order-fingerprint.js';
import type {Order} from '../dispatch/order.js';
import type {Telemetry} from '../telemetry/index.js';
import type {View} from '../view/index.js';
import {probeConnection, ProbeOutcome} from './probe-connection.js';
import {ConnectionFault, type TargetResult} from './target-result.js';

/** Longest wait for the answer to a connection attempt that checks whether a target is gone, in milliseconds; a few round trips. */
const probeTimeoutMs = 150;

/** Largest number of requests that a log line about a crash names. */
const maxLoggedRequests = 8;

/** What tells that a target is gone and not only a connection to it. */
export enum CrashEvidence {
	/** It lost the connection of a running request and refuses new ones. */
	Refused = 'refused',
	/** It lost a running request, and its record was removed or replaced by that of another incarnation without notice. */
	Removed = 'removed',
}

/** A target as the detector sees it. */
export type ObservedTarget = {
	readonly id: string;
	readonly addr: string;
	readonly service: string;
	readonly version?: string;
};

/** Options of a crash detector. */
export type CrashDetectorOptions = {
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	readonly view: View;
	/** Resolves to whether an address refuses connections, i.e. no process listens there. */
	readonly isRefused: (addr: string) => Promise<boolean>;
	/** Resolves to whether this instance is cut off from all targets, so that a refused connection tells nothing of one of them. */
	readonly isCutOff: () => Promise<boolean>;
	/** Called when a target ended while requests ran there. */
	readonly onCrash: (report: ReportedCrash) => void;
	/** Called when a target answers that was reported before. */
	readonly onAlive: (target: string) => void;
};

/** Tells the end of a target from a broken connection, and which requests of this instance ran there. */
export class CrashDetector {
	private readonly options: CrashDetectorOptions;
	private readonly ledger = new RunLedger<Order>();
	private readonly targets = new Map<string, ObservedTarget>();
	/** Targets that drain or announced their leaving; their end is no crash. */
	private readonly leaving = new Set<string>();
	private readonly probes = new Map<string, Promise<boolean>>();

	constructor(options: CrashDetectorOptions) {
		this.options = options;
	}

	/** Records that an order is sent to a target. */
	recordSend(target: ObservedTarget, order: Order): void {
		this.targets.set(target.id, target);
		this.ledger.recordStart(target.id, order, this.options.clock.now());
	}

	/** Records the result of an order. Resolves to whether the target is gone, so that the order may have crashed it. */
	async recordResult({id, addr}: ObservedTarget, order: Order, {outcome, fault}: TargetResult): Promise<boolean> {
		const now = this.options.clock.now();
		switch (outcome) {
			case AttemptOutcome.Answered: {
				if (this.ledger.recordAnswer(id, order)) {
					this.options.telemetry.info('crashes', 'A target that had been taken for gone answers.', {target: id, id: order.requestId});
					this.options.onAlive(id);
				}

				return false;
			}

			case AttemptOutcome.TimedOut: {
				this.ledger.recordLoss(id, order, now);
				return false;
			}

			case AttemptOutcome.Broken: {
				if (fault !== ConnectionFault.Lost) {
					this.ledger.recordEnd(id, order);
					return false;
				}

				this.ledger.recordLoss(id, order, now);
				if (this.leaving.has(id) || !(this.ledger.isGone(id) || await this.probe(addr)) || await this.options.isCutOff()) {
					return false;
				}

				this.report(id, CrashEvidence.Refused);
				return true;
			}

			case AttemptOutcome.Unreachable: {
				this.ledger.recordEnd(id, order);
				if (fault === ConnectionFault.Refused && this.ledger.hasLost(id) && !await this.options.isCutOff()) {
					this.report(id, CrashEvidence.Refused);
				}

				return false;
			}

			case AttemptOutcome.Full:
			case AttemptOutcome.NotRun:
			case AttemptOutcome.Cancelled: {
				this.ledger.recordEnd(id, order);
				return false;
			}
		}
	}

	/** Applies a change of the view: a target that is gone without notice may have ended by what it ran. */
	applyView(): void {
		const {view} = this.options;
		for (const target of view.targets.values()) {
			if (target.phase !== TargetPhase.Ready || view.isLeaving(target.id)) {
				this.leaving.add(target.id);
			} else {
				this.leaving.delete(target.id);
			}
		}

		for (const target of this.ledger.prune(id => view.targets.has(id))) {
			this.report(target, CrashEvidence.Removed);
		}

		for (const id of this.targets.keys()) {
			if (!view.targets.has(id)) {
				this.targets.delete(id);
			}
		}

		for (const id of this.leaving) {
			if (!view.targets.has(id)) {
				this.leaving.delete(id);
			}
		}
	}

	private async probe(addr: string): Promise<boolean> {
		const known = this.probes.get(addr);
		if (known !== undefined) {
			return known;
		}

		const probe = this.options.isRefused(addr);
		this.probes.set(addr, probe);
		try {
			return await probe;
		} finally {
			this.probes.delete(addr);
		}
	}

	private report(id: string, evidence: CrashEvidence): void {
		const {clock, telemetry, onCrash} = this.options;
		const suspects = this.ledger.takeSuspects(id, clock.now());
		const target = this.targets.get(id);
		if (suspects.length === 0 || target === undefined || this.leaving.has(id)) {
			return;
		}

		const fingerprints = [...new Set(suspects.map(order => fingerprintOf(order)))];
		telemetry.metrics.crashes.inc({evidence});
		telemetry.trace('crashes', 'A target ended while requests ran there.', {
			target: id,
			evidence,
			service: target.service,
			count: suspects.length,
			requests: suspects.slice(0, maxLoggedRequests).map(order => `${order.requestId} ${order.method} ${order.path} ${fingerprintOf(order)}`),
		});
		onCrash({
			target: id, service: target.service, version: target.version ?? '', fingerprints,
		});
	}
}

/** Resolves to whether connections to an address are refused; false if they are accepted or nothing answers in time. */
export async function isConnectionRefused(addr: string, localAddress: string | undefined): Promise<boolean> {
	return await probeConnection({addr, localAddress, timeoutMs: probeTimeoutMs}) === ProbeOutcome.Refused;
}
