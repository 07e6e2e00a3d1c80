export type * from './clock/index.js';
export * from './fence-gate/index.js';
export * from './lease/index.js';
export * from './right/index.js';
export * from './slot-limiter/index.js';
