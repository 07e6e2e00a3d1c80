export * from './create-config.js';
export * from './fake-target-control.js';
export * from './feed-harness.js';
export * from './held-log.js';
export * from './leader-harness.js';
export * from './memory-feed.js';
export * from './memory-log.js';
export * from './ownership-harness.js';
