export * from './slot-limiter.js';
