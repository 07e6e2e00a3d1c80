/**
 * Messages between instances about leadership and the replicated view.
 */
import type {Buffer} from 'node:buffer';
import {promisify} from 'node:util';
import {deflateRaw, deflateRawSync, inflateRawSync} from 'node:zlib';
import {Packr} from 'msgpackr';
import type {
	ConditionReport, ReportedCrash, TeamCeiling, TeamUseReport, TrialOutcome,
} from '@bluebellyard/core';
import {noBytes} from '../peers/index.js';
import type {Delta, NodeInfo} from '../view/index.js';
import type {ContactMessage} from './contact-proof.js';
import type {SendEnds} from './former-leaders.js';
import type {Leadership} from './leader-record.js';

/** Operations that an instance accepts from other instances. */
export enum PeerOp {
	/** The leader sends a heartbeat, with the changes of the view. */
	Ping = 'ping',
	/** An instance asks whether another one has contact with a leader. */
	QueryLeader = 'ask',
	/** An instance that started announces itself. */
	Hello = 'hello',
	/** The leader resigns and asks this instance to become leader. */
	TakeOver = 'succeed',
	/** A target answered that it does not own a key that was granted to it. */
	Disowned = 'disowned',
	/** A target announced that it leaves. */
	Leaving = 'leaving',
	/** A target ended while requests ran there. */
	Crash = 'crash',
	/** A target answers that was reported to have ended. */
	Alive = 'alive',
	/** An instance asks whether a request under which targets ended may run. */
	Trial = 'trial',
	/** Such a run has ended. */
	TrialEnd = 'trial-end',
	/** An instance is cut off from the targets, or reaches them again. */
	CutOff = 'cut-off',
	/** An instance reports the use of teams before the leader asks for it. */
	TeamUse = 'team-use',
	/** A request for a dispatch queue of this instance. */
	Request = 'work',
	/** The end of a request that this instance permitted the sender to send to the target itself. */
	RequestEnd = 'work-end',
	/** The sender of a request for a dispatch queue of this instance takes it back if it still waits. */
	RequestWithdrawal = 'work-withdrawal',
}

/** Identifies a state of the view: the state at one leader after one of its changes. */
export type ViewState = {
	/** Incarnation of the leader; two leaders may have the same term if the store has lost the record of one. */
	readonly leader: string;
	readonly term: number;
	/** Sequence number of the change at that leader. */
	readonly seq: number;
};

/** States of the view at one leader, from one sequence number to another. */
export type StateRange = Pick<ViewState, 'leader' | 'term'> & {
	readonly from: number;
	readonly to: number;
};

/** Times until which former leaders may send grants, in milliseconds from the time of the message, by their names. */
export type FormerEnds = Readonly<Record<string, number>>;

/** Heartbeat of the leader; the changes of the view are sent with it as bytes. */
export type Ping = Leadership & {
	readonly leader: NodeInfo;
	/** Time since the leader last reached the store, in milliseconds. */
	readonly storeAgeMs: number;
	/** Time since the leader's last successful read of the targets' records began, in milliseconds. */
	readonly targetsAgeMs: number;
	/** Time since the leader's configuration was last known to be the newest one in the store, in milliseconds; 0 while it decodes another one. Absent from instances of an earlier version. */
	readonly configAgeMs?: number;
	/** Time since the leader last knew all records for its view, in milliseconds; absent before it has read them in this term, and from instances of an earlier version. */
	readonly recordsAgeMs?: number;
	/** For each former leader, the time until which it may send grants, in milliseconds from now; negative if that is over. */
	readonly formerEndsMs: FormerEnds;
	/** What the leader tells of its contacts; absent from one that is alone, or of an earlier version. */
	readonly contact?: ContactMessage;
	/** State to which the changes apply; undefined if they are the whole content or if there are none. */
	readonly base: ViewState | undefined;
	/** Further states to which the changes apply; absent without changes and from instances of an earlier version. */
	readonly bases?: readonly StateRange[];
	/** Whether the changes are the rows of the configuration and nothing else, which apply to any state; absent otherwise. */
	readonly isConfigOnly?: boolean;
	/** Sequence number of the view after the changes. */
	readonly seq: number;
};

/** Measurements of an instance since its last report. */
export type Report = {
	/** For each service, pairs of key and service time in milliseconds, flattened. */
	readonly keys: Readonly<Record<string, readonly number[]>>;
	/** Long-term slowness of the targets that it sends work to; 1 is normal. */
	readonly slowness: ReadonlyArray<readonly [target: string, factor: number]>;
	/** What targets said about themselves in recent answers; absent from instances of an earlier version. */
	readonly conditions?: readonly ConditionReport[];
	/** Targets that announced their leaving to this instance; absent from instances of an earlier version. */
	readonly leavingTargets?: readonly string[];
	/** Targets that ended recently while requests of the instance ran there; absent from instances of an earlier version. */
	readonly crashes?: readonly ReportedCrash[];
	/** Time that work waits for CPU time in the instance, in milliseconds; absent if it does not measure it. */
	readonly delayMs?: number;
	/** Use of teams with a limit; absent without any, and from instances of an earlier version. */
	readonly teamUse?: TeamUseReport;
	/** Whether the instance itself is about to stop. */
	readonly isLeaving: boolean;
	/** Whether the instance is cut off from the targets; absent from instances of an earlier version. */
	readonly isCutOff?: boolean;
};

/** Answer to a heartbeat. */
export type Pong = Leadership & {
	readonly incarnation: string;
	/** State of its view; undefined if it does not match any state that a leader sent. */
	readonly viewState: ViewState | undefined;
	/** Stamp that the leader repeats in its next ping; absent from instances that are not in the register in the leader's era, or of an earlier version. */
	readonly stamp?: number;
	/** Time since this process last answered an earlier leader as its follower, or started, in milliseconds; 0 if absent. */
	readonly formerAgeMs?: number;
	readonly report: Report;
};

/** Which contact with a leader an instance has. */
export type LeaderQueryReply = Leadership & {
	readonly isLeader: boolean;
	/** Time since its last heartbeat from the leader, in milliseconds. */
	readonly heardAgeMs: number;
	/** Time since its leader reached the store, in milliseconds, as of the last heartbeat. */
	readonly storeAgeMs: number;
	/** What the leader that it follows told of the leaders before it. */
	readonly formerEndsMs: FormerEnds;
};

/** A key that its recorded owner refused because it holds no grant of it. */
export type NotOwnerReport = {
	readonly service: string;
	readonly owner: string;
	readonly key: number;
};

/** Question of an instance whether a suspected request may run. */
export type TrialRequest = {
	readonly print: string;
	/** Longest time that the run takes, in milliseconds. */
	readonly maxMs: number;
};

/** Result of a run that the leader permitted. */
export type TrialResult = {
	readonly print: string;
	readonly outcome: TrialOutcome;
};

/** Whether an instance is cut off from the targets. */
export type CutOffReport = {
	readonly instance: string;
	readonly isCutOff: boolean;
};

/** Use of teams at an instance, sent out of turn. */
export type TeamUseMessage = {
	readonly instance: string;
	readonly incarnation: string;
	readonly report: TeamUseReport;
};

/** Answer to such a report: the ceilings in force. */
export type TeamCeilingsReply = Leadership & {
	readonly ceilings: readonly TeamCeiling[];
};

/** A report to the leader: a key that its owner does not hold, the id of a target that leaves, one that ended or lives after all, the result of a trial, whether this instance is cut off. */
export type TargetReport
	= | readonly [op: PeerOp.Disowned, value: NotOwnerReport]
		| readonly [op: PeerOp.Leaving | PeerOp.Alive, value: string]
		| readonly [op: PeerOp.Crash, value: ReportedCrash]
		| readonly [op: PeerOp.TrialEnd, value: TrialResult]
		| readonly [op: PeerOp.CutOff, value: CutOffReport];

/** Limit for an unpacked view; many times the size of a configuration with thousands of routes. */
const maxDeltaBytes = 64 * 1024 * 1024;

const packr = new Packr({useRecords: false, moreTypes: false});

/** Converts monotonic times of this process to durations from now, since the clocks of instances differ. */
export function toFormerEnds(ends: SendEnds, now: number): FormerEnds {
	return Object.fromEntries([...ends].map(([name, end]) => [name, Math.ceil(end - now)]));
}

/** Converts durations in a message to monotonic times of this process. The message took some time, so they are not too early. */
export function toSendEnds(ends: FormerEnds, now: number): SendEnds {
	return new Map(Object.entries(ends).map(([name, ms]) => [name, now + ms]));
}

/** Size from which changes are compressed outside the event loop, in bytes; compressing this much takes about 5 ms. */
const largeDeltaBytes = 128 * 1024;

const deflate = promisify<Buffer, {level: number}, Buffer>(deflateRaw);

/** Packs changes; empty if nothing changed. Followers at the same sequence number share the result. Large changes, as those of many keys, are a promise. */
export function packDelta(delta: Delta): Buffer | Promise<Buffer> {
	const isEmpty = !delta.isFull && delta.set.length === 0 && delta.gone.length === 0;
	if (isEmpty) {
		return noBytes;
	}

	const packed = packr.pack(delta);
	return packed.length > largeDeltaBytes ? deflate(packed, {level: 1}) : deflateRawSync(packed, {level: 1});
}

/** Unpacks the output of `packDelta`; undefined if nothing changed. Throws if it exceeds `maxDeltaBytes`. */
export function unpackDelta(bytes: Buffer): Delta | undefined {
	return bytes.length === 0 ? undefined : packr.unpack(inflateRawSync(bytes, {maxOutputLength: maxDeltaBytes})) as Delta;
}

/** Returns whether both states are known and the same. */
export function isSameState(a: ViewState | undefined, b: ViewState | undefined): boolean {
	return a !== undefined && a.leader === b?.leader && a.term === b.term && a.seq === b.seq;
}

/** Returns the range that contains a state. */
export function findRange(ranges: readonly StateRange[], state: ViewState): StateRange | undefined {
	return ranges.find(({leader, term, from, to}) => leader === state.leader && term === state.term && from <= state.seq && state.seq <= to);
}
