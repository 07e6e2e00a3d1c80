export * from './http-log-service.js';
