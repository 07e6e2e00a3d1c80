/**
 * Copies the records of operators and targets from the platform's store into the view.
 * Runs on the leader and on an instance without contact with a leader.
 */
import type {Clock, TargetInfo} from '@bluebellyard/core';
import type {
	FeedChange, OperatorEntry, OperatorFeed, TargetFeed,
} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import {isKnownService, isSameSet, type View} from '../view/index.js';
import {Evacuations} from './evacuations.js';
import {OperatorLoop} from './operator-loop.js';
import {TargetLoop} from './target-loop.js';
import {TargetRecords} from './target-records.js';

/**
 * Heartbeats that fit into a time without successful reads in which no entry of a running target can expire: the store
 * removes an entry after three missed heartbeats, and the last one was not much more than one interval old at the last read.
 */
const maxHarmlessHeartbeats = 1.8;

/** Time after an outage or a return of the store from a copy within which expired and lost entries are written again, in milliseconds; specified by the platform. */
const reregistrationMs = 2000;

/** Share of the targets above which entries that are missing after an outage count as expired; an outage makes those of nearly all targets expire within one heartbeat. */
const maxLeftShare = 0.25;

/** Increase of the remaining cold time above which a target counts as cold again, in milliseconds. */
const minColdIncreaseMs = 250;

/** Options of `FeedReader`. */
export type FeedReaderOptions = {
	readonly operators: OperatorFeed;
	readonly targets: TargetFeed;
	readonly view: View;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Interval at which each target writes its entry again, in milliseconds. */
	readonly heartbeatMs: number;
	/** Called with the first reading of the configuration, so that no caller is served before what it loads is known. The configuration is applied once it resolves. */
	readonly loadSuspects?: () => Promise<void>;
	/** Called after each read of the operators' records, with the monotonic time up to which they are known, in milliseconds. */
	readonly onOperatorsRead?: (knownAt: number) => void;
};

/** Keeps the view up to date with the store. */
export class FeedReader {
	private readonly options: FeedReaderOptions;
	private readAt = Number.NEGATIVE_INFINITY;
	/** Time up to which the operators' records are known since the start. */
	private operatorsAt = Number.NEGATIVE_INFINITY;
	/** Whether the next read is the first one since the start. */
	private isFirstRead = false;
	/** Time at which the store was reachable again after its last outage. */
	private recoveredAt = Number.NEGATIVE_INFINITY;
	/** Time at which the last return of the store from an older copy was noticed. */
	private returnedAt = Number.NEGATIVE_INFINITY;
	/** Names of targets whose entries expired or were lost in an outage, with the time at which they are removed. */
	private readonly pendingRemovals = new Map<string, number>();
	/** Target id (one incarnation) by target name. */
	private readonly idsByName = new Map<string, string>();
	/** Monotonic time until which a target is cold, by target id. */
	private readonly coldUntil = new Map<string, number>();
	private readonly evacuations = new Evacuations();
	private readonly records: TargetRecords;
	private readonly operatorLoop: OperatorLoop;
	private readonly targetLoop: TargetLoop;

	constructor(options: FeedReaderOptions) {
		const {
			operators, targets, clock, view, telemetry, loadSuspects,
		} = options;
		this.options = options;
		this.operatorLoop = new OperatorLoop({
			feed: operators,
			clock,
			async prepare() {
				if (view.configVersion === undefined) {
					await loadSuspects?.();
				}
			},
			onChange: (change, knownAt) => {
				this.handleOperatorChange(change, knownAt);
			},
			onFailure: err => {
				this.handleOperatorFailure(err);
			},
		});
		this.targetLoop = new TargetLoop({
			feed: targets,
			clock,
			onChange: (change, startedAt) => {
				this.handleTargetChange(change, startedAt);
			},
			onFailure: err => {
				telemetry.warn('news', 'The records of targets could not be read; trying again.', {err, ageMs: Math.round(clock.now() - this.readAt)});
			},
		});
		this.records = new TargetRecords(view, clock);
	}

	/** Whether this instance reads the store. */
	get isReading(): boolean {
		return this.targetLoop.isRunning;
	}

	/** Whether this instance decodes operators' records that it has received. */
	get isDecoding(): boolean {
		return this.operatorLoop.isDecoding;
	}

	/** Monotonic time up to which all records are known since the start; negative infinity before. */
	get knownAt(): number {
		return this.isFirstRead ? Number.NEGATIVE_INFINITY : Math.min(this.operatorsAt, this.readAt);
	}

	/** Monotonic time at which the last successful read of the targets' records began. */
	get lastReadAt(): number {
		return this.readAt;
	}

	/**
	 * Starts reading. If the store may have been unreachable, `readAt` is the monotonic time of the last successful
	 * read before, by this instance or a former leader, in milliseconds.
	 */
	start(readAt = this.options.clock.now()): void {
		if (this.isReading) {
			return;
		}

		this.isFirstRead = true;
		this.operatorsAt = Number.NEGATIVE_INFINITY;
		this.readAt = readAt;
		this.idsByName.clear();
		for (const target of this.options.view.targets.values()) {
			this.idsByName.set(target.name, target.id);
		}

		this.records.load();
		this.evacuations.load(this.options.view.evacuated);
		this.operatorLoop.start();
		this.targetLoop.start();
	}

	/** Stops reading. */
	stop(): void {
		this.operatorLoop.stop();
		this.targetLoop.stop();
	}

	/** Returns how much longer a target is cold, in milliseconds. */
	remainingColdMs(target: string, now: number): number {
		return Math.max(0, (this.coldUntil.get(target) ?? 0) - now);
	}

	private handleOperatorChange(change: FeedChange<OperatorEntry>, knownAt: number): void {
		this.recordEra(change.era);
		if (change.isFull || change.set.size > 0 || change.gone.length > 0) {
			this.applyOperatorEntries(change.set, change.gone, change.isFull);
			this.options.view.notifyListeners();
		}

		this.operatorsAt = knownAt;
		this.options.onOperatorsRead?.(knownAt);
	}

	private handleOperatorFailure(err: unknown): void {
		const {telemetry, view, operators} = this.options;
		telemetry.warn('news', 'The records of operators could not be read; trying again.', {err});
		if (view.configVersion === undefined) {
			// The records may have been read although the suspects were not.
			operators.restart();
		}
	}

	private applyOperatorEntries(set: ReadonlyMap<string, OperatorEntry>, removed: readonly string[], isFull: boolean): void {
		const {view, telemetry, clock} = this.options;
		if (isFull) {
			this.evacuations.endMissing(set, this.returnedAt + reregistrationMs);
		}

		for (const key of removed) {
			this.evacuations.remove(key);
		}

		for (const [key, entry] of set) {
			if (entry.kind === 'evacuation') {
				this.evacuations.set(key, entry.domain);
			} else if (view.setConfig(entry.config)) {
				const {
					version, routes, teams, teamKeys,
				} = entry.config;
				telemetry.info('news', 'A new configuration is active.', {
					version, routes: routes.length, ...(teams !== undefined && {teams: teams.length, teamKeys: teamKeys?.size}),
				});
			}
		}

		this.publishEvacuations(clock.now());
	}

	private publishEvacuations(now: number): void {
		const {view, telemetry} = this.options;
		this.evacuations.expire(now);
		const {domains} = this.evacuations;
		if (!isSameSet(domains, view.evacuated)) {
			telemetry.info('news', 'The set of evacuated failure domains changed.', {domains: [...domains]});
			view.replacePrefix('evacuated/', new Map([...domains].map(domain => [`evacuated/${domain}`, true])));
		}
	}

	private handleTargetChange(change: FeedChange<TargetInfo>, startedAt: number): void {
		const {view, clock} = this.options;
		this.recordRead(startedAt);
		const before = view.store.lastSeq;
		this.recordEra(change.era);
		this.publishEvacuations(clock.now());
		this.applyTargetEntries(change.set, change.gone, change.isFull);
		if (view.store.lastSeq !== before) {
			view.notifyListeners();
		}
	}

	private recordRead(startedAt: number): void {
		const {clock, telemetry, heartbeatMs} = this.options;
		const now = clock.now();
		const awayMs = now - this.readAt;
		if (awayMs > heartbeatMs * maxHarmlessHeartbeats) {
			this.recoveredAt = now;
			telemetry.info('news', 'The store is reachable again; expired entries have time to be written again.', {awayMs: Math.round(awayMs), reregistrationMs});
		} else if (this.isFirstRead) {
			telemetry.info('news', 'The records of targets are read by this instance now.', {awayMs: Math.round(awayMs)});
		}

		this.isFirstRead = false;
		this.readAt = startedAt;
	}

	/** Records the era of an answer; a rise means that entries which the copy lacks must be written again. */
	private recordEra(era: number): void {
		const {view, clock, telemetry} = this.options;
		const formerEra = view.storeEra;
		if (formerEra !== undefined && era <= formerEra) {
			return;
		}

		view.setStoreEra(era);
		if (formerEra !== undefined) {
			this.returnedAt = clock.now();
			telemetry.info('news', 'The store returned from an older copy; lost entries have time to be written again.', {era, formerEra, reregistrationMs});
		}
	}

	private applyTargetEntries(set: ReadonlyMap<string, TargetInfo>, removed: readonly string[], isFull: boolean): void {
		const {clock, telemetry} = this.options;
		const now = clock.now();
		for (const [name, target] of set) {
			if (this.isForeign(name, target)) {
				telemetry.info('news', 'Ignored a record with an unknown service in the place of a target.', {name, service: target.service, present: this.idsByName.get(name)});
				continue;
			}

			this.pendingRemovals.delete(name);
			if (this.records.isOutdated(target, isFull)) {
				const {id, phase, recordSeq} = target;
				telemetry.trace('news', 'Ignored an older record of a target.', {
					target: id, phase, recordSeq, present: this.idsByName.get(name),
				});
			} else {
				this.applyTarget(name, target, now);
			}
		}

		this.records.expire(now);
		const missing = isFull ? [...this.idsByName.keys()].filter(name => !set.has(name)) : removed;
		const mayHaveExpired = missing.length > this.idsByName.size * maxLeftShare;
		const reregisteredAt = Math.max(mayHaveExpired ? this.recoveredAt : Number.NEGATIVE_INFINITY, this.returnedAt) + reregistrationMs;
		for (const name of missing) {
			if (now < reregisteredAt) {
				this.pendingRemovals.set(name, reregisteredAt);
			} else {
				this.remove(name);
			}
		}

		for (const [name, until] of this.pendingRemovals) {
			if (now >= until) {
				this.pendingRemovals.delete(name);
				this.remove(name);
			}
		}
	}

	/** Returns whether a record may be another writer's: it replaces that of a target, and no configuration names its service. */
	private isForeign(name: string, {service}: TargetInfo): boolean {
		const {view} = this.options;
		const present = view.targets.get(this.idsByName.get(name) ?? '');
		return present !== undefined && present.service !== service && !isKnownService(view, service);
	}

	private applyTarget(name: string, target: TargetInfo, now: number): void {
		const {view, telemetry} = this.options;
		const formerId = this.idsByName.get(name);
		if (formerId !== undefined && formerId !== target.id) {
			this.removeRow(formerId);
		}

		this.records.record(target);
		this.idsByName.set(name, target.id);
		const coldUntil = now + target.coldLeftMs;
		const isColder = target.coldLeftMs > 0 && coldUntil > (this.coldUntil.get(target.id) ?? 0) + minColdIncreaseMs;
		if (isColder) {
			this.coldUntil.set(target.id, coldUntil);
		}

		const known = view.targets.get(target.id);
		if (known === undefined || isColder || !isSameTarget(known, target)) {
			telemetry.info('news', known === undefined ? 'A target joined.' : 'A target changed.', {
				target: target.id, service: target.service, domain: target.domain, addr: target.addr, phase: target.phase, coldLeftMs: target.coldLeftMs,
			});
			// The remaining time that a target reports may be slightly less than expected here; the longer one applies.
			view.store.set(`target/${target.id}`, {...target, coldLeftMs: Math.max(target.coldLeftMs, this.remainingColdMs(target.id, now))});
		}
	}

	private remove(name: string): void {
		const id = this.idsByName.get(name);
		if (id !== undefined) {
			this.idsByName.delete(name);
			this.records.recordLeft(name);
			this.removeRow(id);
		}
	}

	private removeRow(id: string): void {
		const {view, telemetry} = this.options;
		this.coldUntil.delete(id);
		if (view.store.remove(`target/${id}`)) {
			telemetry.info('news', 'A target was removed.', {target: id});
		}
	}
}

function isSameTarget(a: TargetInfo, b: TargetInfo): boolean {
	return a.service === b.service && a.addr === b.addr && a.domain === b.domain && a.slots === b.slots && a.phase === b.phase;
}
