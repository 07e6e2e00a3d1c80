/** Reason why the fold rejected a record. */
export enum RejectReason {
	Malformed = 'malformed',
	UnknownInstance = 'unknown-instance',
	InstanceKnown = 'instance-known',
	WriterNotMember = 'writer-not-member',
	UnknownEviction = 'unknown-eviction',
	UnknownTarget = 'unknown-target',
	TargetKnown = 'target-known',
	TargetOwnsShards = 'target-owns-shards',
	StaleTenure = 'stale-tenure',
	StewardInCharge = 'steward-in-charge',
	StaleOwnership = 'stale-ownership',
	NotOwnersSteward = 'not-owners-steward',
	UnknownPool = 'unknown-pool',
	StaleConfig = 'stale-config',
	BadRules = 'bad-rules',
	EmptiesPool = 'empties-pool',
	ShardCountChanged = 'shard-count-changed',
	HotKeyKnown = 'hot-key-known',
}

/** Result of folding one record. */
export type Verdict = {
	readonly accepted: boolean;
	readonly reason?: RejectReason;
	/** Detail for operators, such as the line of an invalid rule. */
	readonly detail?: string;
};

/** Verdict on a record that took effect. */
export const accepted: Verdict = {accepted: true};

/** Returns the verdict on a record that has no effect. */
export function rejected(reason: RejectReason, detail?: string): Verdict {
	return {accepted: false, reason, detail};
}
