export * from './backoff.js';
export * from './load-snapshot.js';
export * from './log-follower.js';
