export * from './coordinator.js';
export * from './ownership-manager.js';
export * from './messages.js';
export * from './feed-reader.js';
export * from './owner-log.js';
export * from './owner-process.js';
export * from './steward-plan.js';
