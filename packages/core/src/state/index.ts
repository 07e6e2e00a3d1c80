export * from './tables.js';
export * from './verdict.js';
export * from './fold.js';
export {isRemoved as isGone, isMember} from './fold-instances.js';
export {isCurrentSteward as isInCharge} from './fold-targets.js';
export {maxHotKeys} from './fold-shards.js';
export * from './shard-of.js';
export * from './key-hash.js';
export * from './snapshot.js';
