export * from './coordinator.js';
export * from './key-keeper.js';
export * from './messages.js';
export * from './news-reader.js';
export * from './owner-log.js';
export * from './steward-plan.js';
