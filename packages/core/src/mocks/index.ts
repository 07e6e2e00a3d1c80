export * from './busy-process.js';
export * from './keyed-service.js';
export * from './played-retries.js';
export * from './domain-load.js';
export * from './team-fleet.js';
export * from './team-fleet-cfg.js';
export * from './team-queue.js';
export * from './target-fleet.js';
