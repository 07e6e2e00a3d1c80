import {
	AllowanceMeter, TeamLimits, type Clock, type Team, type TeamPermit, type TeamPermitDecision, type TeamUseReport,
} from '@bluebellyard/core';
import type {TeamCeilingsReply, TeamUseMessage} from '../cluster/index.js';
import {ceilingPart, type NodeInfo, type View} from '../view/index.js';

/** The leader as an instance knows it. */
export type LeaderContact = {
	/** Time at which it was last heard; negative infinity if never. */
	readonly heardAt: number;
	readonly era: number;
	readonly term: number;
};

/** Options of `TeamRates`. */
export type TeamRatesOptions = {
	readonly self: NodeInfo;
	readonly view: View;
	readonly clock: Clock;
	/** Returns numbers between 0 and 1. */
	readonly random: () => number;
	readonly leader: () => LeaderContact;
	/** Sends a report to the leader. Resolves to undefined if there is no leader or no answer. */
	readonly sendUse: (message: TeamUseMessage) => Promise<TeamCeilingsReply | undefined>;
};

/** Rate limits of teams at this instance. */
export class TeamRates extends TeamLimits {
	private readonly meter: AllowanceMeter;
	private ceilingSeq = 0;
	/** Time of the last answer of the leader to a report. */
	private answeredAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: TeamRatesOptions) {
		super();
		this.meter = new AllowanceMeter(options.random);
	}

	/** @inheritdoc */
	override admit(team: Team, now: number): TeamPermitDecision {
		this.refresh();
		const decision = this.meter.admit(team, now);
		if (this.meter.isReportDue(now)) {
			void this.sendReport(now);
		}

		return decision;
	}

	/** @inheritdoc */
	override giveBack(permit: TeamPermit): void {
		this.meter.giveBack(permit);
	}

	/** Returns the report for the answer to the leader's ping; undefined if no team with a limit has sent a request. */
	report(): TeamUseReport | undefined {
		if (this.meter.isEmpty) {
			return undefined;
		}

		const {view, clock} = this.options;
		this.refresh();
		const names = new Set(view.teams.map(({name}) => name));
		this.meter.retain(name => names.has(name));
		return this.meter.report(clock.now());
	}

	/** Applies what is known of the other instances. */
	private refresh(): void {
		const {view, leader} = this.options;
		const {heardAt, era, term} = leader();
		this.meter.setContact({instances: view.nodes().length, heardAt: Math.max(heardAt, this.answeredAt), leader: `${era}/${term}`});
		const seq = view.store.lastSeqOfPart(ceilingPart);
		if (seq !== this.ceilingSeq) {
			this.ceilingSeq = seq;
			this.meter.setCeilings(view.teamCeilings);
		}
	}

	private async sendReport(now: number): Promise<void> {
		const {self, clock, sendUse, leader} = this.options;
		const report = this.meter.report(now);
		this.meter.recordSentReport(now);
		const reply = await sendUse({instance: self.name, incarnation: self.incarnation, report});
		const {era, term} = leader();
		if (reply?.era === era && reply.term === term) {
			this.answeredAt = clock.now();
			this.refresh();
			this.meter.setCeilings(reply.ceilings);
		}
	}
}
