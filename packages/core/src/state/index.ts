export * from './tables.js';
export * from './verdict.js';
export * from './fold.js';
export {isRemoved, isMember} from './fold-instances.js';
export {isCurrentSteward} from './fold-targets.js';
export {maxHotKeys} from './fold-shards.js';
export * from './find-shard.js';
export * from './key-hash.js';
export * from './snapshot.js';
