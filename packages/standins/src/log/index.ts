export * from './log-service.js';
export * from './log-store.js';
