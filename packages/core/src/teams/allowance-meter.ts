import {
	assumedInstances, ceilingBucket, freeBucket, isPaced, minPingIntervalMs, pingIntervalMs, usablePartOf, type BucketCfg,
} from './allowance-rules.js';
import {IsolatedAllowance} from './isolated-allowance.js';
import {PacedPermits} from './paced-permits.js';
import {TeamLimits, type TeamPermit, type TeamPermitDecision} from './team-limits.js';
import type {TeamUse, TeamUseReport} from './team-use.js';
import type {Team} from './team.js';

/** Half-life of the estimate of offered requests, in milliseconds. */
const offeredHalfLifeMs = 500;

/** Time from the last contact from which the leader counts as lost, beyond the interval of its pings while nothing changes, in milliseconds. */
const contactSlackMs = 400;

/** Time after a loss of the leader in which the next one may not know of all that ran in the window of the limit, in milliseconds. */
const windowMs = 5000;

/** Time without an answer to a report after which the leader counts as lost, in milliseconds. */
const answerTimeoutMs = 200;

/** Time without an answer to a report from which an instance with rare pings uses its part without contact until the answer arrives, in milliseconds. Without it, 450 instances ran up to 1.08 times the bound of a window when the leader was lost in a flood. */
const lateAnswerMs = 50;

/** Least interval between two reports because of admitted requests, in milliseconds. */
const minReportIntervalMs = 100;

/** Least interval, per instance, between two reports of use that the leader does not know if pings are rare, in milliseconds; it limits the leader to 1,700 reports a second. Without them, a flood of a small team at 450 instances ran for 1.3 s. */
const rareReportIntervalPerInstanceMs = 0.6;

/** Least interval between two reports because of offered requests, in milliseconds, and per instance if that is longer; it limits the leader to about 600 reports a second. */
const minOfferedIntervalMs = 250;
const minOfferedIntervalPerInstanceMs = 1.6;

/** Time from a change of the leader for which reports are full, in milliseconds; one of them may be lost. */
const fullReportMs = 3000;

/** Smallest number of requests for a report out of turn, and the share of a second at the free rate. */
const minReportedRequests = 2;
const reportedSeconds = 0.1;

/** Estimate of offered requests per second below which a team needs no further report. */
const negligiblePerSecond = 0.05;

/** Longest time that callers are told to wait, in milliseconds. */
const maxRetryAfterMs = 30_000;

/** Time that callers are told to wait while a team repays a debt and its ceiling is 0, in milliseconds. */
const closedRetryMs = 1000;

const msPerSecond = 1000;

type Account = {
	team: Team;
	tokens: number;
	bucket: BucketCfg;
	at: number;
	admitted: number;
	offered: number;
	offeredAt: number;
	reportedOffered: number;
	/** Requests admitted and offered since the last report. */
	newAdmitted: number;
	newOffered: number;
	readonly paced: PacedPermits;
	readonly isolated: IsolatedAllowance;
};

/** What an instance knows of the deployment. */
export type MeterContact = {
	/** Number of known instances. */
	readonly instances: number;
	/** Time of the last message of a leader. */
	readonly heardAt: number;
	/** Identifies the leader and its term. */
	readonly leader: string;
};

/** Limits what one instance admits of each team. It needs no answer of another instance for a decision. */
export class AllowanceMeter extends TeamLimits {
	private readonly accounts = new Map<string, Account>();
	private ceilings = new Map<string, number>();
	private instances = 1;
	private heardAt = Number.NEGATIVE_INFINITY;
	/** Time of the first report since the last contact; undefined if there was none. */
	private unansweredSince: number | undefined;
	private lostAt = Number.NEGATIVE_INFINITY;
	private leader: string | undefined;
	private ledSince = Number.NEGATIVE_INFINITY;
	private reportedAt = Number.NEGATIVE_INFINITY;
	private seq = 0;

	/** `random` returns numbers between 0 and 1. */
	constructor(private readonly random: () => number) {
		super();
	}

	/** Whether no team with a limit has sent a request. */
	get isEmpty(): boolean {
		return this.seq === 0 && this.accounts.size === 0;
	}

	private get hasRarePings(): boolean {
		return pingIntervalMs(this.instances) > minPingIntervalMs;
	}

	/** Records the number of instances and the last contact with a leader. */
	setContact({instances, heardAt, leader}: MeterContact): void {
		this.instances = instances;
		if (leader !== this.leader && Number.isFinite(heardAt)) {
			this.leader = leader;
			this.ledSince = heardAt;
		}

		if (heardAt > this.heardAt) {
			if (Number.isFinite(this.heardAt)) {
				// Records a loss that no request has noticed.
				this.hasLostLeader(heardAt);
			}

			this.heardAt = heardAt;
			this.unansweredSince = undefined;
		}
	}

	/** Replaces the published ceilings, by team, in requests per second. */
	setCeilings(ceilings: Iterable<readonly [team: string, perSecond: number]>): void {
		this.ceilings = new Map(ceilings);
	}

	/** Forgets teams that the configuration no longer has. */
	retain(isKnown: (team: string) => boolean): void {
		for (const name of this.accounts.keys()) {
			if (!isKnown(name)) {
				this.accounts.delete(name);
			}
		}
	}

	/** @inheritdoc */
	override admit(team: Team, now: number): TeamPermitDecision {
		if (team.ratePerSecond === undefined || team.ratePerSecond <= 0) {
			return {permit: {team: team.name}};
		}

		const account = this.getAccount(team, now);
		decayOffered(account, now);
		account.offered += Math.LN2 / offeredHalfLifeMs * msPerSecond;
		account.newOffered += 1;
		this.refill(account, team, now);
		const waitMs = this.isIsolated(team.name, now) ? this.takeIsolated(account, now) : this.takePermit(account);
		if (waitMs > 0) {
			return {permit: undefined, retryAfterMs: Math.min(maxRetryAfterMs, Math.ceil(waitMs))};
		}

		account.admitted += 1;
		account.newAdmitted += 1;
		account.isolated.record(1, now);
		return {permit: {team: team.name}};
	}

	/** @inheritdoc */
	override giveBack(permit: TeamPermit): void {
		const account = this.accounts.get(permit.team);
		if (account !== undefined) {
			account.admitted -= 1;
			account.newAdmitted -= 1;
			account.tokens = Math.min(account.bucket.capacity, account.tokens + 1);
			account.isolated.record(-1, account.at);
		}
	}

	/** Returns whether the leader should get a report now and not only with the answer to its next ping. */
	isReportDue(now: number): boolean {
		const sinceMs = now - this.reportedAt;
		if (sinceMs < minReportIntervalMs) {
			return false;
		}

		const assumed = assumedInstances(this.instances);
		const isOfferedDue = sinceMs >= Math.max(minOfferedIntervalMs, this.instances * minOfferedIntervalPerInstanceMs);
		const isRareDue = this.hasRarePings && sinceMs >= this.instances * rareReportIntervalPerInstanceMs;
		for (const {team, newAdmitted, newOffered} of this.accounts.values()) {
			const many = Math.max(minReportedRequests, freeBucket(team, assumed).rate * reportedSeconds);
			if (newAdmitted > many || (isOfferedDue && newOffered > many) || (isRareDue && newOffered > 0)) {
				return true;
			}
		}

		return false;
	}

	/** Returns the use of all teams with traffic that the leader does not know of, or of all teams if the leader is new. */
	report(now: number): TeamUseReport {
		const uses: TeamUse[] = [];
		const isFull = now - this.ledSince < fullReportMs;
		for (const [name, account] of this.accounts) {
			decayOffered(account, now);
			if (isFull || account.newOffered > 0 || account.newAdmitted !== 0 || account.reportedOffered > 0) {
				account.reportedOffered = account.offered < negligiblePerSecond ? 0 : Math.round(account.offered * 100) / 100;
				account.newAdmitted = 0;
				account.newOffered = 0;
				uses.push([name, account.admitted, account.reportedOffered]);
			}
		}

		this.reportedAt = now;
		this.seq += 1;
		return {seq: this.seq, isFull, uses};
	}

	/** Records that a report was sent to the leader, which answers it. */
	recordSentReport(now: number): void {
		this.unansweredSince ??= now;
	}

	/** Returns whether the leader counts as lost. */
	hasLostLeader(now: number): boolean {
		const isSilent = now - this.heardAt > minPingIntervalMs + contactSlackMs;
		const isUnanswered = this.unansweredSince !== undefined && now - this.unansweredSince > answerTimeoutMs;
		if (isSilent || isUnanswered) {
			this.lostAt = now;
			return true;
		}

		return false;
	}

	/** Returns whether the answer to a report is so late that the leader may be lost. Only where pings are rare: elsewhere a report is due after several requests, so that few run until the loss is certain. */
	private isAnswerLate(now: number): boolean {
		return this.hasRarePings && this.unansweredSince !== undefined && now - this.unansweredSince > lateAnswerMs;
	}

	private isIsolated(team: string, now: number): boolean {
		if (this.hasLostLeader(now) || this.isAnswerLate(now)) {
			return true;
		}

		// The next leader learns the demand and publishes ceilings within the interval of its pings.
		const settleMs = pingIntervalMs(this.instances) + contactSlackMs;
		return now - this.lostAt < settleMs && !this.ceilings.has(team);
	}

	private takeIsolated(account: Account, now: number): number {
		const waitMs = this.ceilings.has(account.team.name) ? this.takePermit(account) : 0;
		return waitMs > 0 ? waitMs : account.isolated.take(account.team, this.instances, now);
	}

	/** Takes a permit of the published ceiling or of the free bucket. Returns the time until there is one, in milliseconds. */
	private takePermit(account: Account): number {
		const {team, isolated, at} = account;
		const ceiling = this.ceilings.get(team.name);
		if (ceiling !== undefined && at - this.lostAt < windowMs && !isolated.hasRoom(team, Math.max(1, this.instances), 1, at)) {
			return closedRetryMs;
		}

		if (ceiling === undefined || !isPaced(ceiling)) {
			return takeToken(account);
		}

		if (account.paced.take(usablePartOf(ceiling))) {
			return 0;
		}

		return ceiling > 0 ? Math.max(1, account.paced.waitMs(ceiling)) : closedRetryMs;
	}

	private getAccount(team: Team, now: number): Account {
		let account = this.accounts.get(team.name);
		if (account === undefined) {
			const bucket = this.findBucket(team);
			account = {
				team,
				tokens: bucket.capacity,
				bucket,
				at: now,
				admitted: 0,
				offered: 0,
				offeredAt: now,
				reportedOffered: 0,
				newAdmitted: 0,
				newOffered: 0,
				paced: new PacedPermits(this.random(), now),
				isolated: new IsolatedAllowance(this.random(), now),
			};
			this.accounts.set(team.name, account);
		}

		return account;
	}

	private findBucket(team: Team): BucketCfg {
		const free = freeBucket(team, assumedInstances(this.instances));
		const ceiling = this.ceilings.get(team.name);
		return ceiling === undefined ? free : ceilingBucket(ceiling);
	}

	/** Adds the tokens since the last request, at the present rate, and cuts them to the present capacity. */
	private refill(account: Account, team: Team, now: number): void {
		account.team = team;
		account.bucket = this.findBucket(team);
		const {rate, capacity} = account.bucket;
		account.tokens = Math.min(capacity, account.tokens + (rate * Math.max(0, now - account.at) / msPerSecond));
		account.paced.advance(rate, now);
		account.at = now;
	}
}

/** Takes a token. Returns the time until there is one, in milliseconds; 0 if it was taken. */
function takeToken(account: Account): number {
	if (account.tokens >= 1) {
		account.tokens -= 1;
		return 0;
	}

	return Math.max(1, (1 - account.tokens) / account.bucket.rate * msPerSecond);
}

function decayOffered(account: Account, now: number): void {
	account.offered *= 0.5 ** ((now - account.offeredAt) / offeredHalfLifeMs);
	account.offeredAt = now;
}
