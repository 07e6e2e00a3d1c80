import type {Leader} from './leader.js';
import {
	PeerOp, type CutOffReport, type NotOwnerReport, type TeamUseMessage,
} from './messages.js';

/** Operations that only the leader carries out. */
export type LeaderOp
	= | PeerOp.Disowned | PeerOp.Leaving | PeerOp.Crash | PeerOp.Alive | PeerOp.Trial | PeerOp.TrialEnd | PeerOp.CutOff | PeerOp.TeamUse;

/** Handles a message for the leader and returns the answer. */
export function handleLeaderMessage(leader: Leader, op: LeaderOp, value: unknown): unknown {
	switch (op) {
		case PeerOp.Disowned: {
			leader.handleNotOwner(value as NotOwnerReport);
			return true;
		}

		case PeerOp.Leaving: {
			leader.handleLeaving(value as string);
			return true;
		}

		case PeerOp.CutOff: {
			const {instance, isCutOff} = value as CutOffReport;
			leader.cutOff.record(instance, isCutOff);
			return true;
		}

		case PeerOp.TeamUse: {
			return leader.teamCeilings.handle(value as TeamUseMessage, leader.leadership);
		}

		case PeerOp.Crash:
		case PeerOp.Alive:
		case PeerOp.Trial:
		case PeerOp.TrialEnd: {
			return leader.suspects.handle(op, value);
		}
	}
}
