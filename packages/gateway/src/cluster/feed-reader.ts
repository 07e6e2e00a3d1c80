/**
 * Reads what operators and targets wrote to the platform's store into the view.
 * Runs on the leader, and on an instance that hears no leader.
 */
import type {Clock, TargetInfo} from '@bluebellyard/core';
import {sleep} from '../net/index.js';
import type {OperatorEntry, OperatorFeed, TargetFeed} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {View} from '../view/index.js';

/** Time between two reads of what targets say, in milliseconds: a third of a heartbeat later at most, and well inside the time for draining. */
const targetPaceMs = 450;

/** Longest wait for news of the operators, in milliseconds; a connection that went silent is noticed soon after it. */
const operatorWaitMs = 2500;

/** Pause after a read that failed, in milliseconds. */
const failurePauseMs = 250;

/** Without a good read for so long the store counts as having been away, in milliseconds. */
const outageMs = 1500;

/** Time after an outage in which targets whose entries lapsed come back, in milliseconds; stated by the platform. */
const returnMs = 2000;

/** Difference from what was expected above which a target counts as cold again, in milliseconds. */
const coldRiseMs = 250;

/** Settings of a reader. */
export type FeedReaderOptions = {
	readonly operators: OperatorFeed;
	readonly targets: TargetFeed;
	readonly view: View;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
};

/** Keeps the view up to date from the store. */
export class FeedReader {
	private readonly options: FeedReaderOptions;
	private isRunning = false;
	private round = 0;
	private readAt = Number.NEGATIVE_INFINITY;
	private isAway = false;
	private returnedAt = Number.NEGATIVE_INFINITY;
	/** Names of targets whose entries went during an outage, and when they are taken for gone. */
	private readonly doubtful = new Map<string, number>();
	/** Process life by name. */
	private readonly lives = new Map<string, string>();
	private readonly coldUntil = new Map<string, number>();
	private readonly evacuations = new Map<string, string>();

	constructor(options: FeedReaderOptions) {
		this.options = options;
	}

	/** Monotonic time of the last good read of what targets say. */
	get lastReadAt(): number {
		return this.readAt;
	}

	/** Starts to read; `wasAway` tells that the store is known to have been away just now. */
	start(wasAway: boolean): void {
		if (this.isRunning) {
			return;
		}

		this.isRunning = true;
		this.round += 1;
		this.isAway = wasAway;
		this.readAt = this.options.clock.now();
		this.lives.clear();
		for (const target of this.options.view.targets.values()) {
			this.lives.set(target.name, target.id);
		}

		this.options.operators.restart();
		this.options.targets.restart();
		void this.readOperators(this.round);
		void this.readTargets(this.round);
	}

	/** Stops reading. */
	stop(): void {
		this.isRunning = false;
	}

	/** How much longer a target is cold, in milliseconds. */
	remainingColdMs(target: string, now: number): number {
		return Math.max(0, (this.coldUntil.get(target) ?? 0) - now);
	}

	private async readOperators(round: number): Promise<void> {
		const {operators, telemetry, view} = this.options;
		while (this.isRunning && round === this.round) {
			try {
				// One read after the other.
				// eslint-disable-next-line no-await-in-loop
				const change = await operators.next(operatorWaitMs);
				if (round !== this.round || !this.isRunning) {
					return;
				}

				if (change.isFull || change.set.size > 0 || change.gone.length > 0) {
					this.takeOperators(change.set, change.gone, change.isFull);
					view.notifyListeners();
				}
			} catch (err) {
				telemetry.warn('news', 'The operators\' records could not be read.', {err});
				// eslint-disable-next-line no-await-in-loop
				await sleep(failurePauseMs);
			}
		}
	}

	private takeOperators(set: ReadonlyMap<string, OperatorEntry>, gone: readonly string[], isFull: boolean): void {
		const {view, telemetry} = this.options;
		if (isFull) {
			this.evacuations.clear();
		}

		for (const key of gone) {
			this.evacuations.delete(key);
		}

		for (const [key, entry] of set) {
			if (entry.kind === 'evacuation') {
				this.evacuations.set(key, entry.domain);
			} else if (view.setConfig(entry.config)) {
				telemetry.info('news', 'A configuration is in force.', {version: entry.config.version, routes: entry.config.routes.length});
			}
		}

		const domains = new Map([...this.evacuations.values()].map(domain => [`evacuated/${domain}`, true]));
		if ([...domains.keys()].join(',') !== [...view.evacuated].map(domain => `evacuated/${domain}`).join(',')) {
			telemetry.info('news', 'Failure domains out of service.', {domains: [...this.evacuations.values()]});
		}

		view.replacePrefix('evacuated/', domains);
	}

	private async readTargets(round: number): Promise<void> {
		const {targets, telemetry, clock, view} = this.options;
		while (this.isRunning && round === this.round) {
			const startedAt = clock.now();
			try {
				// eslint-disable-next-line no-await-in-loop
				const change = await targets.next(0);
				if (round !== this.round || !this.isRunning) {
					return;
				}

				this.noteRead(startedAt);
				const before = view.store.lastSeq;
				this.takeTargets(change.set, change.gone, change.isFull);
				if (view.store.lastSeq !== before) {
					view.notifyListeners();
				}
			} catch (err) {
				telemetry.warn('news', 'The targets\' records could not be read.', {err, ageMs: Math.round(clock.now() - this.readAt)});
				// eslint-disable-next-line no-await-in-loop
				await sleep(failurePauseMs);
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(Math.max(1, targetPaceMs - (clock.now() - startedAt)));
		}
	}

	private noteRead(startedAt: number): void {
		const {clock, telemetry} = this.options;
		const now = clock.now();
		if (this.isAway || startedAt - this.readAt > outageMs) {
			this.isAway = false;
			this.returnedAt = now;
			telemetry.info('news', 'The store is back.', {awayMs: Math.round(now - this.readAt)});
		}

		this.readAt = startedAt;
	}

	private takeTargets(set: ReadonlyMap<string, TargetInfo>, gone: readonly string[], isFull: boolean): void {
		const now = this.options.clock.now();
		for (const [name, target] of set) {
			this.doubtful.delete(name);
			this.takeTarget(name, target, now);
		}

		const missing = isFull ? [...this.lives.keys()].filter(name => !set.has(name)) : gone;
		for (const name of missing) {
			if (now < this.returnedAt + returnMs) {
				this.doubtful.set(name, this.returnedAt + returnMs);
			} else {
				this.remove(name);
			}
		}

		for (const [name, until] of this.doubtful) {
			if (now >= until) {
				this.doubtful.delete(name);
				this.remove(name);
			}
		}
	}

	private takeTarget(name: string, target: TargetInfo, now: number): void {
		const {view, telemetry} = this.options;
		const former = this.lives.get(name);
		if (former !== undefined && former !== target.id) {
			this.remove(name);
		}

		this.lives.set(name, target.id);
		const cold = now + target.coldLeftMs;
		const isColder = target.coldLeftMs > 0 && cold > (this.coldUntil.get(target.id) ?? 0) + coldRiseMs;
		if (isColder) {
			this.coldUntil.set(target.id, cold);
		}

		const known = view.targets.get(target.id);
		if (known === undefined || isColder || !isSame(known, target)) {
			telemetry.info('news', known === undefined ? 'A target joined.' : 'A target changed.', {
				target: target.id, service: target.service, domain: target.domain, addr: target.addr, phase: target.phase, coldLeftMs: target.coldLeftMs,
			});
			// A life that starts elsewhere may say a little less time left than we expect; the longer one counts.
			view.store.set(`target/${target.id}`, {...target, coldLeftMs: Math.max(target.coldLeftMs, this.remainingColdMs(target.id, now))});
		}
	}

	private remove(name: string): void {
		const {view, telemetry} = this.options;
		const life = this.lives.get(name);
		if (life === undefined) {
			return;
		}

		this.lives.delete(name);
		this.coldUntil.delete(life);
		if (view.store.remove(`target/${life}`)) {
			telemetry.info('news', 'A target is gone.', {target: life});
		}
	}
}

function isSame(a: TargetInfo, b: TargetInfo): boolean {
	return a.service === b.service && a.addr === b.addr && a.domain === b.domain && a.slots === b.slots && a.phase === b.phase;
}
