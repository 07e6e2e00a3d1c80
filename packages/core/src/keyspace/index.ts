export * from './fencing-token.js';
export * from './lease.js';
export * from './key-load.js';
export * from './ownership-map.js';
export * from './key-range.js';
export * from './plan-key-moves.js';
