export * from './delta-store.js';
export * from './leader-config.js';
export * from './queue-id.js';
export * from './queue-weights.js';
export * from './team-table.js';
export type * from './node-info.js';
export * from './view.js';
export * from './view-parts.js';
export * from './direct-reading.js';
