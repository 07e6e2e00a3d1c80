export * from './granted-lease.js';
export * from './held-lease.js';
