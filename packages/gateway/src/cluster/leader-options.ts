import type {Clock, LeaseTiming} from '@bluebellyard/core';
import type {PeerNet} from '../peers/index.js';
import type {TargetControl} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {NodeInfo, View} from '../view/index.js';
import type {Directory} from './directory.js';
import type {FeedReader} from './feed-reader.js';
import type {SendEnds} from './former-leaders.js';
import type {LastContacts} from './last-contacts.js';
import type {LeaderRecord} from './leader-record.js';
import type {Report} from './messages.js';
import type {OwnerLog} from './owner-log.js';
import type {SuspectLog} from './suspect-log.js';
import type {BaseState} from './view-replica.js';

/** Options of `Leader`. */
export type LeaderOptions = {
	readonly self: NodeInfo;
	/** Record of this term in the store. */
	readonly record: LeaderRecord;
	/** What the last leader told of the leaders before it. */
	readonly knownEnds: SendEnds;
	/** Last contacts of the last leader, if it was certainly not alone when it was superseded. */
	readonly lastContacts?: LastContacts;
	/** Whether this leader sends grants only while it has contacts, and tells of them. */
	readonly usesContactBound: boolean;
	/** Monotonic time at which the lead was claimed. */
	readonly claimedAt: number;
	readonly view: View;
	readonly net: PeerNet;
	readonly ownerLog: OwnerLog;
	readonly suspectLog: SuspectLog;
	readonly directory: Directory;
	readonly reader: FeedReader;
	readonly control: TargetControl;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	readonly timing: LeaseTiming;
	/** Returns whether keys leave targets at once whose load surges. */
	readonly detectsSurges?: () => boolean;
	/** Processor time in cores below which an instance gets queues only if its domain has no larger one. */
	readonly minStewardCores?: number;
	/** Returns the time since the configuration of this instance was last known to be the newest one, in milliseconds; 0 while it decodes another one. */
	readonly configAgeMs?: () => number;
	/** States of former leaders on which the changes of this term can be based. */
	readonly baseState: BaseState | undefined;
	/** Incarnation of the former leader if it fell silent. */
	readonly lostLeader?: string;
	/** Returns the measurements of this instance since the last call. */
	readonly report: () => Report;
	/** Returns whether this instance is about to stop. */
	readonly isLeaving: () => boolean;
	/** Called when another instance has become leader. */
	readonly onSuperseded: () => void;
};
