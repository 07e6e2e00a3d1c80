export * from './busy-process.js';
export * from './keyed-service.js';
export * from './domain-load.js';
