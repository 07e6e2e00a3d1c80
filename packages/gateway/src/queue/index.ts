export * from './byte-check.js';
export * from './condition-tracker.js';
export * from './crash-detector.js';
export * from './dispatch-queue.js';
export * from './dispatch-queues.js';
export * from './path-checker.js';
export * from './probe-connection.js';
export * from './target-client.js';
