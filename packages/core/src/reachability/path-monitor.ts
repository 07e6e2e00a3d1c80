/**
 * Decides whether an instance is partitioned from all targets, in contrast to single targets that are crashed, slow or
 * full. It responds to failed requests of the instance, at any load: one target proves nothing, so that checking
 * connections to others decide.
 */
import {isFailedConnect, PathEvidence} from './path-evidence.js';
import {SilenceDetector, type OverdueRequest} from './silence-detector.js';

/** A target that may be checked. */
export type PathTarget = {
	readonly id: string;
	readonly domain: string;
	readonly service: string;
};

/** What a check asks of a target. */
export enum CheckKind {
	/** It opens a connection. */
	Connect = 'connect',
	/** It also asks for a byte of a response, which is load for the target. */
	Byte = 'byte',
}

/** How the targets of a round are checked. */
export type PathCheck = {
	readonly kind: CheckKind;
	/** Time after which a check has failed, in milliseconds. */
	readonly timeoutMs: number;
};

/** Why an instance was last found cut off, or reachable again. Times are monotonic milliseconds. */
export type PathDecision = {
	readonly isCutOff: boolean;
	/** When the first evidence came. */
	readonly suspectedAt: number;
	readonly decidedAt: number;
	/** Targets that failed, with the last evidence against each; after a recovery the targets that responded. */
	readonly targets: readonly string[];
	/** Whether responses still came on connections opened before. */
	readonly hasOpenConnections: boolean;
};

/** Largest number of targets checked in one round. */
const maxChecks = 4;

/** Minimum time between the starts of two rounds before the instance counts as cut off, in milliseconds. */
const suspectedIntervalMs = 300;

/** Time between the starts of two rounds while it counts as cut off, in milliseconds. */
const cutOffIntervalMs = 500;

/** Timeout of a check that opens a connection, in milliseconds. */
const connectTimeoutMs = 250;

/** Number of targets that must fail, unless fewer are known. */
const minFailedTargets = 3;

/** Least number of targets from which a partition can be told from a lost target. */
const minKnownTargets = 2;

/** Rounds in succession that must succeed for a recovery. */
const recoveryRounds = 2;

/** Responses, and targets that they come from, that also show a recovery. */
const recoveryResponses = 5;
const recoveryResponders = 2;

/**
 * Time after the last failed round for which the instance counts as cut off, in milliseconds. With 1000 ms, a partition
 * with refused connections that comes and goes every second would end for one round each time.
 */
const minCutOffMs = 1200;

type CheckRound = PathCheck & {
	readonly pending: Set<string>;
	readonly size: number;
	/** Targets whose check succeeded, and whose check failed. */
	readonly connected: string[];
	readonly failed: string[];
};

/** Options of a path monitor. */
export type PathMonitorOptions = {
	/** Returns the known targets. */
	readonly targets: () => readonly PathTarget[];
	/** Returns a random number from 0 to 1. */
	readonly random: () => number;
};

/** Collects evidence for and against a path from this instance to the targets. Times are monotonic milliseconds. */
export class PathMonitor {
	private readonly options: PathMonitorOptions;
	private readonly silence = new SilenceDetector();
	/** Whether it was found cut off as targets accept connections and answer nothing. */
	private isSilent = false;
	private suspectedAt: number | undefined;
	private cutOffAt: number | undefined;
	/** Whether responses came since the first evidence. */
	private hasResponded = false;
	/** Last evidence against targets since the first evidence, by target id. */
	private readonly failedConnects = new Map<string, PathEvidence>();
	private readonly failedRequests = new Map<string, PathEvidence>();
	private round: CheckRound | undefined;
	private roundAt = Number.NEGATIVE_INFINITY;
	private failedRoundAt = Number.NEGATIVE_INFINITY;
	private goodRounds = 0;
	private responses = 0;
	private readonly responders = new Set<string>();
	private decision: PathDecision | undefined;

	constructor(options: PathMonitorOptions) {
		this.options = options;
	}

	/** Whether this instance is cut off from the targets. */
	get isCutOff(): boolean {
		return this.cutOffAt !== undefined;
	}

	/** Whether evidence against a path is being checked. */
	get isSuspected(): boolean {
		return this.suspectedAt !== undefined && !this.isCutOff;
	}

	/** Whether evidence is being checked and enough targets are known for a decision. */
	get isUndecided(): boolean {
		return this.isSuspected && this.options.targets().length >= minKnownTargets;
	}

	/** Whether responses came on connections opened earlier while new ones failed. */
	get hasOpenConnections(): boolean {
		return this.hasResponded;
	}

	/** Whether this instance is cut off although connections are accepted, as nothing is answered. */
	get isUnanswered(): boolean {
		return this.isCutOff && this.isSilent;
	}

	/** How the targets of the present round are checked; undefined between rounds. */
	get check(): PathCheck | undefined {
		return this.round;
	}

	/** The last change of `isCutOff`; undefined before the first one. */
	get lastDecision(): PathDecision | undefined {
		return this.decision;
	}

	/** Records a response of a target on a connection that was opened at `connectedAt`. */
	recordResponse(target: string, connectedAt: number, now: number): void {
		this.silence.recordResponse(now);
		if (this.suspectedAt === undefined) {
			return;
		}

		this.hasResponded = true;
		const isNewConnection = connectedAt > this.suspectedAt;
		if (this.cutOffAt === undefined) {
			this.failedRequests.clear();
			if (isNewConnection || this.failedConnects.size === 0) {
				this.dismiss();
			}
		} else if (connectedAt > this.cutOffAt || this.isSilent) {
			this.responses += 1;
			this.responders.add(target);
			this.recoverIfDue(now);
		}
	}

	/** Records evidence of a request against a path to a target; `overdue` is set for a request without a response. */
	recordFailure(target: string, evidence: PathEvidence, now: number, overdue?: OverdueRequest): void {
		if (this.isCutOff) {
			return;
		}

		if (overdue !== undefined) {
			this.silence.recordOverdue(target, overdue, now);
		}

		this.suspect(now);
		this.addFailure(target, evidence);
	}

	/** Has targets checked as another instance of the deployment was found cut off, which often is not the only one. */
	recordAlarm(now: number): void {
		this.silence.recordAlarm(now);
		this.suspect(now);
	}

	/** Returns when the next round of checks may start; undefined if none is needed or one is under way. */
	nextRoundAt(): number | undefined {
		const {suspectedAt, round, roundAt, isCutOff, silence} = this;
		const silenceDueAt = isCutOff ? undefined : silence.checkDueAt;
		if ((suspectedAt === undefined && silenceDueAt === undefined) || round !== undefined || this.options.targets().length < minKnownTargets) {
			return undefined;
		}

		const suspectedDueAt = suspectedAt === undefined ? Number.POSITIVE_INFINITY : roundAt + (isCutOff ? cutOffIntervalMs : suspectedIntervalMs);
		return Math.min(suspectedDueAt, silenceDueAt ?? Number.POSITIVE_INFINITY);
	}

	/** Starts a round of checks if one is due. Returns the ids of the targets to check; `check` says how. */
	startRound(now: number): string[] {
		const dueAt = this.nextRoundAt();
		if (dueAt === undefined || now < dueAt) {
			return [];
		}

		const selected = this.selectTargets();
		this.round = {
			...this.selectCheck(now), pending: new Set(selected), size: selected.length, connected: [], failed: [],
		};
		this.roundAt = now;
		return selected;
	}

	/** Records the end of a check of the present round: whether the connection was opened, or a byte received if it asked for one. */
	recordCheck(target: string, isConnected: boolean, now: number): void {
		const {round} = this;
		if (round?.pending.delete(target) !== true) {
			return;
		}

		if (isConnected) {
			round.connected.push(target);
			this.recordSuccess(round);
		} else {
			round.failed.push(target);
			if (round.kind === CheckKind.Connect && this.isSuspected && round.connected.length === 0) {
				this.addFailure(target, PathEvidence.ConnectTimeout);
			}
		}

		if (round.pending.size === 0) {
			this.round = undefined;
			this.concludeRound(round, now);
		}
	}

	private selectCheck(now: number): PathCheck {
		const dueAt = this.silence.checkDueAt;
		const asksForByte = this.isCutOff ? this.isSilent : dueAt !== undefined && now >= dueAt;
		return asksForByte ? {kind: CheckKind.Byte, timeoutMs: this.silence.startCheck(now)} : {kind: CheckKind.Connect, timeoutMs: connectTimeoutMs};
	}

	private recordSuccess({kind}: CheckRound): void {
		if (this.isCutOff) {
			return;
		}

		this.dismiss();
		if (kind === CheckKind.Byte) {
			this.silence.clear();
		} else {
			this.silence.recordConnected();
		}
	}

	private suspect(now: number): void {
		this.suspectedAt ??= now;
	}

	private addFailure(target: string, evidence: PathEvidence): void {
		(isFailedConnect(evidence) ? this.failedConnects : this.failedRequests).set(target, evidence);
	}

	private dismiss(): void {
		this.suspectedAt = undefined;
		this.hasResponded = false;
		this.failedConnects.clear();
		this.failedRequests.clear();
	}

	private concludeRound({kind, size, connected, failed}: CheckRound, now: number): void {
		if (!this.isCutOff) {
			if (connected.length === 0 && kind === CheckKind.Byte) {
				this.cutOffIfSilent(failed, now);
			} else if (connected.length === 0) {
				this.cutOffIfProven(now);
			}

			return;
		}

		if (connected.length * 2 < size) {
			this.failedRoundAt = now;
			this.goodRounds = 0;
			this.responses = 0;
			this.responders.clear();
			return;
		}

		this.goodRounds += 1;
		for (const target of connected) {
			this.responders.add(target);
		}

		this.recoverIfDue(now);
	}

	/** Without a response since the first evidence all failures count, otherwise only connects that failed. */
	private cutOffIfProven(now: number): void {
		const {suspectedAt} = this;
		const failures = new Map(this.hasResponded ? this.failedConnects : [...this.failedRequests, ...this.failedConnects]);
		if (suspectedAt !== undefined && failures.size >= this.neededFailures()) {
			this.cutOff(failures, now);
		}
	}

	/** Requests of any target that were answered meanwhile show that the path works; otherwise no checked target sent a byte. */
	private cutOffIfSilent(unanswered: readonly string[], now: number): void {
		const {silence} = this;
		const failures = new Map<string, PathEvidence>();
		for (const target of silence.overdueTargets) {
			failures.set(target, PathEvidence.Overdue);
		}

		for (const target of unanswered) {
			failures.set(target, PathEvidence.Unanswered);
		}

		if (silence.isProven(now) && failures.size >= this.neededFailures()) {
			this.suspectedAt = silence.suspectedAt;
			this.isSilent = true;
			this.cutOff(failures, now);
		}
	}

	private neededFailures(): number {
		return Math.max(minKnownTargets, Math.min(minFailedTargets, this.options.targets().length));
	}

	private cutOff(failures: ReadonlyMap<string, PathEvidence>, now: number): void {
		this.cutOffAt = now;
		this.failedRoundAt = now;
		this.goodRounds = 0;
		this.responses = 0;
		this.responders.clear();
		this.decision = {
			isCutOff: true,
			suspectedAt: this.suspectedAt ?? now,
			decidedAt: now,
			targets: [...failures].map(([target, evidence]) => `${target} ${evidence}`),
			hasOpenConnections: this.hasResponded,
		};
	}

	private recoverIfDue(now: number): void {
		const isProven = this.goodRounds >= recoveryRounds || (this.responses >= recoveryResponses && this.responders.size >= recoveryResponders);
		if (this.suspectedAt === undefined || !isProven || now - this.failedRoundAt < minCutOffMs) {
			return;
		}

		this.decision = {
			isCutOff: false, suspectedAt: this.suspectedAt, decidedAt: now, targets: [...this.responders], hasOpenConnections: this.hasResponded,
		};
		this.cutOffAt = undefined;
		this.isSilent = false;
		this.silence.clear();
		this.dismiss();
	}

	/** Selects targets of different services and domains in turn; those that failed come last. */
	private selectTargets(): string[] {
		const {targets, random} = this.options;
		const groups = new Map<string, string[]>();
		const shuffled = targets()
			.map(target => ({target, rank: random() + (this.failedConnects.has(target.id) || this.failedRequests.has(target.id) ? 1 : 0)}))
			.toSorted((a, b) => a.rank - b.rank);
		for (const {target} of shuffled) {
			const group = groups.get(`${target.service} ${target.domain}`) ?? [];
			groups.set(`${target.service} ${target.domain}`, group);
			group.push(target.id);
		}

		return interleave(groups).slice(0, maxChecks);
	}
}

/** Returns the first entries of all groups, then the second ones and so on; groups whose service and domain are new come first. */
function interleave(groups: ReadonlyMap<string, readonly string[]>): string[] {
	const services = new Set<string>();
	const domains = new Set<string>();
	const first: Array<readonly string[]> = [];
	const later: Array<readonly string[]> = [];
	for (const [group, ids] of groups) {
		const [service, domain] = group.split(' ');
		const isNew = !services.has(service) || !domains.has(domain);
		(isNew ? first : later).push(ids);
		services.add(service);
		domains.add(domain);
	}

	const lists = [...first, ...later];
	const length = Math.max(0, ...lists.map(ids => ids.length));
	return Array.from({length}, (_, i) => lists.flatMap(ids => ids.slice(i, i + 1))).flat();
}
