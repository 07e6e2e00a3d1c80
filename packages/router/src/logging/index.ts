export * from './logging.js';
