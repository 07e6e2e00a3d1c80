/**
 * Decides when requests without a response call for checks that ask targets for a byte, and whether the silence lasted
 * long enough to be a partition. It responds to targets that accept connections and then answer nothing. Targets that
 * are slow or that drop what they can't queue look the same at first, so that silence of all targets is required.
 */

/** Shortest silence that may be a partition, in milliseconds; all targets together pause for less. */
const minSilenceMs = 1000;

/** Multiple of the expected run time of the shortest overdue request that the silence must reach; targets may all be slow by a factor of 12. */
const silenceFactor = 15;

/** Time that a target has to send a byte, in milliseconds; a health check of a target that is slow by a factor of 12 is answered in it. */
const answerMs = 700;

/** Longest time that a target has to send a byte, in milliseconds; longer rounds would hold up other checks. */
const maxAnswerMs = 1500;

/** Minimum time between the starts of two rounds that ask for a byte, in milliseconds; each check is load for a target. */
const checkIntervalMs = 1000;

/** Number of targets with overdue requests from which a check starts at once. */
const certainTargets = 3;

/** Time for which a response is awaited if fewer targets have overdue requests, in milliseconds; one request that a full target drops needs no check while others are answered. */
const confirmMs = 300;

/** Age up to which a response shows that the path works when another instance is found cut off, in milliseconds; that takes longer than 1000 ms. */
const freshResponseMs = 1000;

/** A request without a response. Times are monotonic milliseconds. */
export type OverdueRequest = {
	readonly sentAt: number;
	/** Expected run time at its target, in milliseconds. */
	readonly expectedMs: number;
};

/** Watches for a time without any response. Times are monotonic milliseconds. */
export class SilenceDetector {
	private readonly overdue = new Set<string>();
	/** When the first overdue request was sent, and the shortest expected run time of all of them in milliseconds. */
	private sentAt = Number.POSITIVE_INFINITY;
	private shortestMs = Number.POSITIVE_INFINITY;
	private firstAt: number | undefined;
	private alarmAt: number | undefined;
	private lastResponseAt = Number.NEGATIVE_INFINITY;
	private checkedAt = Number.NEGATIVE_INFINITY;
	/** Whether a connection was opened since the first evidence. */
	private hasConnected = false;

	/** When the first evidence came; undefined without any. */
	get suspectedAt(): number | undefined {
		return this.firstAt ?? this.alarmAt;
	}

	/** Targets with overdue requests since the last response. */
	get overdueTargets(): readonly string[] {
		return [...this.overdue];
	}

	/** When targets are to be asked for a byte; undefined if there is no reason to. */
	get checkDueAt(): number | undefined {
		const {firstAt, alarmAt, hasConnected} = this;
		if (!hasConnected || this.suspectedAt === undefined) {
			return undefined;
		}

		const overdueAt = firstAt === undefined ? Number.POSITIVE_INFINITY : firstAt + (this.overdue.size >= certainTargets ? 0 : confirmMs);
		return Math.max(Math.min(overdueAt, alarmAt ?? Number.POSITIVE_INFINITY), this.checkedAt + checkIntervalMs);
	}

	/** Records a request that got no response in time. */
	recordOverdue(target: string, {sentAt, expectedMs}: OverdueRequest, now: number): void {
		this.firstAt ??= now;
		this.overdue.add(target);
		this.sentAt = Math.min(this.sentAt, sentAt);
		this.shortestMs = Math.min(this.shortestMs, expectedMs);
	}

	/** Records a byte of a response of any target. */
	recordResponse(now: number): void {
		this.lastResponseAt = now;
		this.clear();
	}

	/** Records that another instance was found cut off; an instance that has just received a response needs no check. */
	recordAlarm(now: number): void {
		if (now - this.lastResponseAt >= freshResponseMs) {
			this.alarmAt ??= now;
		}
	}

	/** Records that a connection to a target was opened. */
	recordConnected(): void {
		this.hasConnected = true;
	}

	/** Records the start of a round that asks for a byte. Returns how long targets have to answer, in milliseconds. */
	startCheck(now: number): number {
		this.checkedAt = now;
		return Math.min(maxAnswerMs, Math.max(answerMs, Math.ceil(this.silenceEnd() - now)));
	}

	/** Returns whether the silence, if no check was answered either, is too long for slow targets. */
	isProven(now: number): boolean {
		return this.suspectedAt !== undefined && now >= this.silenceEnd();
	}

	/** Forgets all evidence. */
	clear(): void {
		this.overdue.clear();
		this.sentAt = Number.POSITIVE_INFINITY;
		this.shortestMs = Number.POSITIVE_INFINITY;
		this.firstAt = undefined;
		this.alarmAt = undefined;
		this.hasConnected = false;
	}

	/** When the silence has lasted long enough. */
	private silenceEnd(): number {
		const {sentAt, alarmAt, lastResponseAt, shortestMs} = this;
		const since = Math.max(Math.min(sentAt, alarmAt ?? Number.POSITIVE_INFINITY), lastResponseAt);
		return since + (this.overdue.size === 0 ? minSilenceMs : Math.max(minSilenceMs, shortestMs * silenceFactor));
	}
}
