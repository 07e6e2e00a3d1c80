import type {Clock, RangeOwnership} from '@bluebellyard/core';
import type {TargetControl, TargetRef} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import {OwnerProcess} from './owner-process.js';

/** Shortest interval between two probes of a silent target without keys, in milliseconds. */
const minProbeIntervalMs = 1000;

/** Longest such interval, in milliseconds; targets that are lost for good are probed until the leader's term ends. */
const maxProbeIntervalMs = 30_000;

/** Share of the time since a target fell silent after which it is probed again. */
const probeIntervalShare = 0.25;

/** Timeout of a probe, in milliseconds. */
const probeTimeoutMs = 500;

/** Options of `SilentOwners`. */
export type SilentOwnersOptions = {
	readonly service: string;
	readonly control: TargetControl;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Returns the present or last known address of a target. */
	readonly findTarget: (owner: string) => TargetRef | undefined;
	/** Returns what is known of the process of an owner. */
	readonly findProcess: (owner: string) => OwnerProcess;
};

type Silence = {
	readonly since: number;
	/** A range that the owner had when it fell silent. */
	readonly range: RangeOwnership;
	nextProbeAt: number;
	isProbing: boolean;
};

/** Owners that do not answer the leader. Those that have lost all keys get no grants, so they are probed until they answer again. */
export class SilentOwners {
	private readonly options: SilentOwnersOptions;
	private readonly silences = new Map<string, Silence>();

	constructor(options: SilentOwnersOptions) {
		this.options = options;
	}

	/** Returns for how long an owner has not answered, in milliseconds; negative infinity if it answers. */
	silentMs(owner: string): number {
		return this.options.clock.now() - (this.silences.get(owner)?.since ?? Number.POSITIVE_INFINITY);
	}

	/** Records an unanswered grant of a range, sent at a monotonic time in milliseconds. */
	recordSilence(range: RangeOwnership, sentAt: number): void {
		if (!this.silences.has(range.owner)) {
			this.silences.set(range.owner, {
				since: sentAt, range, nextProbeAt: sentAt + minProbeIntervalMs, isProbing: false,
			});
		}
	}

	/** Records that an owner answered. */
	recordAnswer(owner: string): void {
		this.silences.delete(owner);
	}

	/** Probes silent owners without keys, as far as probes are due. Those with keys get grants, which are probes, too. */
	probe(ownersWithKeys: ReadonlySet<string>): void {
		const now = this.options.clock.now();
		for (const [owner, silence] of this.silences) {
			if (this.options.findProcess(owner) === OwnerProcess.Ended) {
				this.silences.delete(owner);
			} else if (!ownersWithKeys.has(owner) && !silence.isProbing && now >= silence.nextProbeAt) {
				void this.sendProbe(owner, silence);
			}
		}
	}

	/** Releases a key that the owner holds no longer, which changes nothing and which no target refuses. */
	private async sendProbe(owner: string, silence: Silence): Promise<void> {
		const {
			control, clock, findTarget, telemetry, service,
		} = this.options;
		const target = findTarget(owner);
		const {range: {from, fence}, since} = silence;
		const intervalMs = (clock.now() - since) * probeIntervalShare;
		silence.nextProbeAt = clock.now() + Math.min(maxProbeIntervalMs, Math.max(minProbeIntervalMs, intervalMs));
		if (target === undefined) {
			return;
		}

		silence.isProbing = true;
		try {
			await control.release(target, {from, to: from, fence}, probeTimeoutMs);
			this.recordAnswer(owner);
			telemetry.info('keeper', 'A silent target answers again.', {service, owner, silentMs: clock.now() - since});
		} catch (err) {
			telemetry.trace('keeper', 'A silent target did not answer a probe.', {
				service, owner, silentMs: clock.now() - since, err,
			});
		} finally {
			silence.isProbing = false;
		}
	}
}
