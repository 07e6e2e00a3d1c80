export * from './keyed-service.js';
