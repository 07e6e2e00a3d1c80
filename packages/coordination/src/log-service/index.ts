export * from './log-service.js';
