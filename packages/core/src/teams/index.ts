export * from './allowance-controller.js';
export * from './allowance-meter.js';
export * from './team.js';
export * from './team-keys.js';
export * from './team-limits.js';
export * from './team-shares.js';
export type * from './team-use.js';
