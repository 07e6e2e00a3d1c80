/**
 * Feeds the decision whether this instance is cut off from the targets: with the results of its requests, with requests
 * that are overdue, and with checking connections, which are opened only after evidence against a path.
 */
import {
	AttemptOutcome, CheckKind, PathEvidence, PathMonitor, TargetReach, type Clock, type OverdueRequest, type PathCheck, type PathDecision, type TargetInfo,
} from '@bluebellyard/core';
import type {Telemetry} from '../telemetry/index.js';
import type {View} from '../view/index.js';
import {
	ConnectionFault, type ConnectionObserver, type EndAsLost, type TargetResult,
} from './target-result.js';

/** Path that a check asks for if the service of the target is unknown; any answer counts. */
const defaultHealthPath = '/';

/** Shortest time after which a request without a response is evidence, in milliseconds. */
const minOverdueMs = 300;

/** Multiple of the expected work after which a request without a response is evidence. */
const overdueFactor = 3;

/** Granularity of the timers for overdue requests, in milliseconds; timers of equal length share a list in Node.js. */
const timerStepMs = 50;

/** Longest time for which a decision is awaited, in milliseconds: the interval between two rounds, and one round. */
const maxSettleMs = 600;

/** Reason of a request that is ended since this instance is cut off. */
const lostReason = 'this instance is cut off from the targets';

/** Options of a path checker. */
export type PathCheckerOptions = {
	/** Name of this instance. */
	readonly selfName: string;
	readonly view: View;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Returns a random number from 0 to 1. */
	readonly random: () => number;
	/** Resolves to whether a connection to an address can be opened within a time in milliseconds. */
	readonly canConnect: (addr: string, timeoutMs: number) => Promise<boolean>;
	/** Resolves to whether an address answers a request for a path with any byte within a time in milliseconds. */
	readonly receivesByte: (addr: string, path: string, timeoutMs: number) => Promise<boolean>;
	/** Returns whether an instance can't be reached at present. */
	readonly isUnreachable: (addr: string) => boolean;
	/** Called when `isCutOff` has changed. */
	readonly onChange: (isCutOff: boolean) => void;
};

/** A request whose connection is watched. */
export type WatchedRequest = {
	readonly target: string;
	/** Expected run time at this target, in milliseconds. */
	readonly expectedMs: number;
	/** Whether the request may be ended and run elsewhere although it may have run. */
	readonly mayEnd: boolean;
};

/** Watches one request at a target. */
export type PathWatch = ConnectionObserver & {
	/** Ends the watch with the result of the request. */
	readonly end: (result: TargetResult) => void;
};

type OpenRequest = {
	readonly mayEnd: boolean;
	endAsLost: EndAsLost | undefined;
};

/** Tells whether this instance is cut off from the targets. */
export class PathChecker {
	private readonly options: PathCheckerOptions;
	private readonly monitor: PathMonitor;
	private readonly reach = new TargetReach();
	/** Requests without a response. */
	private readonly open = new Set<OpenRequest>();
	private readonly waiters = new Set<() => void>();
	private decision: PathDecision | undefined;
	private timer: NodeJS.Timeout | undefined;
	private isStopped = false;
	private knownCutOff: ReadonlySet<string> = new Set();

	constructor(options: PathCheckerOptions) {
		this.options = options;
		const {view, random} = options;
		this.monitor = new PathMonitor({targets: () => this.usableTargets(), random});
		view.onChange(() => {
			this.applyView();
		});
	}

	/** Whether this instance is cut off from the targets. */
	get isCutOff(): boolean {
		return this.monitor.isCutOff;
	}

	/** Whether another instance should run the orders of this one: it is cut off, and another one is not. */
	get isReleased(): boolean {
		const {view, selfName, isUnreachable} = this.options;
		return this.isCutOff && view.nodes().some(({name, addr}) => name !== selfName && !view.isCutOff(name) && !isUnreachable(addr));
	}

	/** Number of targets that this instance does not reach, by failure domain of all targets that may receive work. */
	get outOfReach(): ReadonlyMap<string, number> {
		return this.reach.outOfReach(this.usableTargets(), this.isCutOff, this.options.clock.now());
	}

	/** Resolves to whether this instance is cut off, once evidence that came before has been checked or `maxSettleMs` have passed. */
	async settle(): Promise<boolean> {
		if (this.monitor.isUndecided && !this.isStopped) {
			await new Promise<void>(resolve => {
				const timer = setTimeout(resolve, maxSettleMs);
				this.waiters.add(() => {
					clearTimeout(timer);
					resolve();
				});
			});
		}

		return this.isCutOff;
	}

	/** Begins to watch a request that is sent to a target. */
	watch({target, expectedMs, mayEnd}: WatchedRequest): PathWatch {
		const {clock} = this.options;
		const request: OpenRequest = {mayEnd, endAsLost: undefined};
		const sentAt = clock.now();
		this.open.add(request);
		const overdueMs = Math.ceil(Math.max(minOverdueMs, expectedMs * overdueFactor) / timerStepMs) * timerStepMs;
		const timer = setTimeout(() => {
			// An event loop that was blocked runs its timers before it reads the responses that have arrived meanwhile.
			setImmediate(() => {
				if (this.open.has(request)) {
					this.recordFailure(target, PathEvidence.Overdue, {sentAt, expectedMs});
				}
			});
		}, overdueMs);
		const close = () => {
			clearTimeout(timer);
			this.open.delete(request);
		};

		return {
			onStart(endAsLost) {
				request.endAsLost = endAsLost;
			},
			onResponse: connectedAt => {
				close();
				this.reach.recordSuccess(target);
				this.monitor.recordResponse(target, connectedAt, clock.now());
				this.advance();
			},
			end: result => {
				close();
				const evidence = findEvidence(result);
				if (evidence !== undefined) {
					this.recordFailure(target, evidence);
				}
			},
		};
	}

	/** Stops all checks. */
	stop(): void {
		this.isStopped = true;
		clearTimeout(this.timer);
		this.notifyWaiters();
	}

	private recordFailure(target: string, evidence: PathEvidence, overdue?: OverdueRequest): void {
		const now = this.options.clock.now();
		this.reach.recordFailure(target, now);
		this.monitor.recordFailure(target, evidence, now, overdue);
		this.advance();
	}

	/** Has targets checked when another instance is found cut off: a quiet instance would be found only when it has taken over its queues. */
	private applyView(): void {
		const {view, selfName, clock} = this.options;
		const known = view.cutOffInstances;
		if (known === this.knownCutOff) {
			return;
		}

		const hasNew = [...known].some(name => name !== selfName && !this.knownCutOff.has(name));
		this.knownCutOff = known;
		if (hasNew && !this.isCutOff) {
			this.monitor.recordAlarm(clock.now());
			this.advance();
		}
	}

	/** Applies a change of the decision and starts or schedules the next round of checks. */
	private advance(): void {
		this.applyDecision();
		clearTimeout(this.timer);
		this.timer = undefined;
		const dueAt = this.monitor.nextRoundAt();
		if (dueAt === undefined || this.isStopped) {
			return;
		}

		const {clock} = this.options;
		const now = clock.now();
		if (now < dueAt) {
			this.timer = setTimeout(() => {
				this.advance();
			}, Math.ceil(dueAt - now));
			return;
		}

		const ids = this.monitor.startRound(now);
		const {check} = this.monitor;
		if (check !== undefined) {
			for (const id of ids) {
				void this.check(id, check);
			}
		}
	}

	private async check(id: string, {kind, timeoutMs}: PathCheck): Promise<void> {
		const {view, canConnect, receivesByte, clock} = this.options;
		const target = view.targets.get(id);
		const isReached = target !== undefined && await (kind === CheckKind.Byte
			? receivesByte(target.addr, view.allServices.get(target.service)?.healthPath ?? defaultHealthPath, timeoutMs)
			: canConnect(target.addr, timeoutMs));
		const now = clock.now();
		if (!isReached) {
			this.reach.recordFailure(id, now);
		} else if (kind === CheckKind.Byte) {
			// A connection that was opened does not show that requests are answered.
			this.reach.recordSuccess(id);
		}

		this.monitor.recordCheck(id, isReached, now);
		this.advance();
	}

	private usableTargets(): TargetInfo[] {
		const {view} = this.options;
		return [...view.targets.values()].filter(target => view.isUsable(target));
	}

	private applyDecision(): void {
		const {lastDecision, isSuspected, hasOpenConnections, isCutOff} = this.monitor;
		const {telemetry, onChange} = this.options;
		const hasChanged = lastDecision !== undefined && lastDecision !== this.decision;
		if (hasChanged) {
			const {targets, suspectedAt, decidedAt} = lastDecision;
			this.decision = lastDecision;
			const fields = {targets, inMs: Math.round(decidedAt - suspectedAt), openConnectionsAnswer: hasOpenConnections};
			telemetry.info('paths', isCutOff ? 'This instance is cut off from the targets.' : 'This instance reaches targets again.', fields);
			onChange(isCutOff);
			if (isCutOff) {
				this.endRequests(hasOpenConnections);
			} else {
				this.reach.clear();
			}
		}

		if (hasChanged || !isSuspected) {
			this.notifyWaiters();
		}
	}

	/**
	 * Ends the requests that were not sent, and those without a response that may run again, unless open connections
	 * survive. If nothing is answered at any instance, the targets may all be slow, so that their requests go on.
	 */
	private endRequests(hasOpenConnections: boolean): void {
		const includesSent = !hasOpenConnections && (!this.monitor.isUnanswered || this.isReleased);
		for (const {endAsLost, mayEnd} of this.open) {
			endAsLost?.(lostReason, mayEnd && includesSent);
		}
	}

	private notifyWaiters(): void {
		const waiters = [...this.waiters];
		this.waiters.clear();
		for (const wake of waiters) {
			wake();
		}
	}
}

function findEvidence({outcome, fault}: TargetResult): PathEvidence | undefined {
	switch (fault) {
		case ConnectionFault.None: {
			return undefined;
		}

		case ConnectionFault.Lost: {
			return outcome === AttemptOutcome.Broken ? PathEvidence.Reset : undefined;
		}

		case ConnectionFault.TimedOut: {
			return PathEvidence.ConnectTimeout;
		}

		case ConnectionFault.Refused:
		case ConnectionFault.Failed: {
			return PathEvidence.ConnectFailed;
		}
	}
}
