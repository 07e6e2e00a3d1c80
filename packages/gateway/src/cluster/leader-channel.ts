import type {TrialDecision} from '@bluebellyard/core';
import type {PeerNet} from '../peers/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {NodeInfo} from '../view/index.js';
import {handleLeaderMessage} from './handle-leader-message.js';
import type {Leader} from './leader.js';
import {
	PeerOp, type TargetReport, type TeamCeilingsReply, type TeamUseMessage, type TrialRequest,
} from './messages.js';

/** Timeout for the question whether a suspected request may run, in milliseconds; a few round trips on a bad link. */
const trialTimeoutMs = 400;

/** Timeout of a report of the use of teams, in milliseconds; the next one carries the same totals. */
const teamUseTimeoutMs = 1000;

/** Options of a leader channel. */
export type LeaderChannelOptions = {
	/** Returns the leader if it is this instance. */
	readonly leader: () => Leader | undefined;
	/** Returns the instance that is followed as leader. */
	readonly leaderNode: () => NodeInfo | undefined;
	readonly net: Pick<PeerNet, 'call'>;
	readonly telemetry: Telemetry;
};

/** Carries reports and questions of this instance to the leader, which may be itself. */
export class LeaderChannel {
	private readonly options: LeaderChannelOptions;

	constructor(options: LeaderChannelOptions) {
		this.options = options;
	}

	/**
	 * Reports to the leader what a target told this instance. A lost report is made up for by the next answer of the
	 * target, or by the answer to the leader's next ping.
	 */
	report(...[op, value]: TargetReport): void {
		const {leader, leaderNode, net, telemetry} = this.options;
		const self = leader();
		const node = leaderNode();
		if (self !== undefined) {
			handleLeaderMessage(self, op, value);
		} else if (node !== undefined) {
			net.call(node.addr, op, value).catch((err: unknown) => {
				telemetry.warn('follower', 'A report could not be sent to the leader.', {op, value, err});
			});
		}
	}

	/** Reports the use of teams. Resolves to undefined if there is no leader or no answer, or if it is of an earlier version. */
	async reportTeamUse(message: TeamUseMessage): Promise<TeamCeilingsReply | undefined> {
		const {leader, leaderNode, net} = this.options;
		const self = leader();
		const node = leaderNode();
		if (self !== undefined || node === undefined) {
			return self?.teamCeilings.handle(message, self.leadership);
		}

		try {
			return await net.call(node.addr, PeerOp.TeamUse, message, {timeoutMs: teamUseTimeoutMs}) as TeamCeilingsReply | undefined;
		} catch {
			// The next report has the same totals, and pings show whether the leader is lost.
			return undefined;
		}
	}

	/** Asks whether a suspected request may run. Resolves to undefined if there is no leader or no answer. */
	async requestTrial(request: TrialRequest): Promise<TrialDecision | undefined> {
		const {leader, leaderNode, net, telemetry} = this.options;
		const self = leader();
		const node = leaderNode();
		if (self !== undefined || node === undefined) {
			return self?.suspects.requestTrial(request);
		}

		try {
			return await net.call(node.addr, PeerOp.Trial, request, {timeoutMs: trialTimeoutMs}) as TrialDecision | undefined;
		} catch (err) {
			telemetry.warn('follower', 'The leader did not answer whether a suspected request may run.', {fingerprint: request.print, err});
			return undefined;
		}
	}
}
