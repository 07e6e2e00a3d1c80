export * from './right.js';
export * from './eviction-wait.js';
