export * from './appender.js';
