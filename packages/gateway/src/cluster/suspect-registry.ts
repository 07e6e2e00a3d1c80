import {
	CrashBoard, type Clock, type ReportedCrash, type Suspect, type TrialDecision,
} from '@bluebellyard/core';
import type {Telemetry} from '../telemetry/index.js';
import {suspectPart, type View} from '../view/index.js';
import {PeerOp, type TrialRequest, type TrialResult} from './messages.js';
import type {SuspectLog} from './suspect-log.js';

/** Interval between two readings of the stored suspects while one is quarantined, in milliseconds; bounds the time until the release by an operator takes effect. */
const readIntervalMs = 5000;

/** Delay before the next call to the store after a failed one, in milliseconds. */
const retryDelayMs = 1000;

/** Options of a suspect registry. */
export type SuspectRegistryOptions = {
	readonly view: View;
	readonly suspectLog: SuspectLog;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Called when the view was changed outside a tick. */
	readonly onChange: () => void;
};

/**
 * The leader's register of requests under which targets ended: permits trials, publishes the suspects in the view, and
 * keeps those with repeated crashes in the store, so that they outlast all instances.
 */
export class SuspectRegistry {
	private readonly options: SuspectRegistryOptions;
	private readonly board: CrashBoard;
	/** Stored records as JSON, by fingerprint; undefined before the first reading. */
	private stored: Map<string, string> | undefined;
	private era = 0;
	private isSyncing = false;
	private isStopped = false;
	private nextReadAt = Number.NEGATIVE_INFINITY;
	private nextWriteAt = Number.NEGATIVE_INFINITY;

	constructor(options: SuspectRegistryOptions) {
		this.options = options;
		this.board = new CrashBoard(options.view.suspects, options.clock.now());
	}

	/** Handles a message of an instance and returns the answer. */
	handle(op: PeerOp.Crash | PeerOp.Alive | PeerOp.Trial | PeerOp.TrialEnd, value: unknown): TrialDecision | true {
		switch (op) {
			case PeerOp.Crash: {
				this.recordCrashes([value as ReportedCrash]);
				return true;
			}

			case PeerOp.Alive: {
				this.board.retractCrash(value as string);
				break;
			}

			case PeerOp.Trial: {
				return this.requestTrial(value as TrialRequest);
			}

			case PeerOp.TrialEnd: {
				const {print, outcome} = value as TrialResult;
				this.options.telemetry.trace('crashes', 'A trial of a suspected request has ended.', {fingerprint: print, outcome, ...this.describe(print)});
				this.board.endTrial(print, outcome, this.options.clock.now());
			}
		}

		this.publish();
		return true;
	}

	/** Decides whether a suspected request may run now. */
	requestTrial({print, maxMs}: TrialRequest): TrialDecision {
		const decision = this.board.requestTrial(print, maxMs, this.options.clock.now());
		const msg = decision.isGranted ? 'A suspected request may run as a trial.' : 'A suspected request may not run now.';
		this.options.telemetry.trace('crashes', msg, {fingerprint: print, ...decision, ...this.describe(print)});
		this.publish();
		return decision;
	}

	/** Records crashes that an instance reports; a report may be repeated. */
	recordCrashes(reports: readonly ReportedCrash[]): void {
		const {clock, telemetry} = this.options;
		let hasChanged = false;
		for (const report of reports) {
			const prints = this.board.recordCrash(report, clock.now());
			hasChanged ||= prints.length > 0;
			if (prints.length > 0) {
				telemetry.info('crashes', 'Requests are suspected of a crash.', {target: report.target, service: report.service, fingerprints: prints});
			}
		}

		if (hasChanged) {
			this.publish();
		}
	}

	/** Ends the register; the view then belongs to another leader. */
	stop(): void {
		this.isStopped = true;
	}

	/** Performs the actions that are due. */
	tick(now: number): void {
		const {view} = this.options;
		for (const {service, isQuarantined} of view.suspects.values()) {
			if (isQuarantined) {
				this.board.applyVersions(service, new Set(view.usableTargets(service).map(({version}) => version ?? '')), now);
			}
		}

		this.publish();
		void this.sync(now);
	}

	/** Reads the stored suspects unless that was done; rejects if the store can't be reached. */
	async load(): Promise<void> {
		if (this.stored === undefined) {
			await this.read();
		}
	}

	private describe(print: string): {crashes: number | undefined; trials: number | undefined} {
		const suspect = this.options.view.suspects.get(print);
		return {crashes: suspect?.crashes.length, trials: suspect?.trials};
	}

	private publish(): void {
		if (this.isStopped) {
			return;
		}

		const {view, clock, telemetry, onChange} = this.options;
		const before = view.store.lastSeqOfPart(suspectPart);
		const suspects = this.board.suspects(clock.now());
		if (suspects.size === 0 && view.suspects.size === 0) {
			return;
		}

		for (const [print, {isQuarantined, crashes, service}] of suspects) {
			if (isQuarantined && view.suspects.get(print)?.isQuarantined !== true) {
				telemetry.info('crashes', 'A request is quarantined: targets end when they run it.', {fingerprint: print, service, targets: crashes.map(({target}) => target)});
			}
		}

		for (const [print, {crashes}] of view.suspects) {
			if (!suspects.has(print)) {
				telemetry.info('crashes', 'A request is no longer suspected.', {fingerprint: print, crashes: crashes.length});
			}
		}

		view.replacePrefix(`${suspectPart}/`, new Map([...suspects].map(([print, suspect]) => [`${suspectPart}/${print}`, suspect])));
		telemetry.metrics.quarantined.set([...suspects.values()].filter(({isQuarantined}) => isQuarantined).length);
		if (view.store.lastSeqOfPart(suspectPart) !== before) {
			onChange();
		}
	}

	/** Brings the stored records in line with the register, and applies what operators released. */
	private async sync(now: number): Promise<void> {
		const {clock, telemetry} = this.options;
		if (this.isStopped || this.isSyncing || now < this.nextWriteAt) {
			return;
		}

		this.isSyncing = true;
		try {
			if (this.stored === undefined || (now >= this.nextReadAt && this.stored.size > 0)) {
				this.nextReadAt = now + readIntervalMs;
				await this.read();
			}

			if (!this.isStopped) {
				await this.write();
			}
		} catch (err) {
			this.nextWriteAt = clock.now() + retryDelayMs;
			telemetry.warn('crashes', 'Suspected requests could not be read or written; trying again.', {err});
		} finally {
			this.isSyncing = false;
		}
	}

	private async read(): Promise<void> {
		const {suspectLog, clock, telemetry} = this.options;
		const {era, suspects} = await suspectLog.list();
		// In another era records are missing because the store has lost them.
		if (this.stored !== undefined && era === this.era) {
			for (const print of this.stored.keys()) {
				if (!suspects.has(print) && this.board.release(print)) {
					telemetry.info('crashes', 'An operator released a request.', {fingerprint: print});
				}
			}
		}

		if (this.stored === undefined) {
			for (const [print, suspect] of suspects) {
				this.board.add(print, suspect, clock.now());
			}
		}

		this.era = era;
		this.stored = new Map([...suspects].map(([print, suspect]) => [print, JSON.stringify(suspect)]));
		this.publish();
	}

	private async write(): Promise<void> {
		const {suspectLog, clock} = this.options;
		const wanted = new Map([...this.board.suspects(clock.now())].filter(([, suspect]) => isDurable(suspect)).map(([print, suspect]) => [print, {suspect, text: JSON.stringify(suspect)}]));
		const stored = this.stored ?? new Map<string, string>();
		for (const print of new Set([...wanted.keys(), ...stored.keys()])) {
			const row = wanted.get(print);
			if (stored.get(print) === row?.text) {
				continue;
			}

			// Calls are made one after the other, to spare the store.
			// eslint-disable-next-line no-await-in-loop
			await suspectLog.write(print, row?.suspect);
			if (row === undefined) {
				stored.delete(print);
			} else {
				stored.set(print, row.text);
			}
		}
	}
}

/** Returns whether a suspect is kept in the store: after repeated crashes. Most others are cleared within a second. */
function isDurable({crashes, trials}: Suspect): boolean {
	return crashes.length > 1 || trials > 0;
}
