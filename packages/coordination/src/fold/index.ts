export * from './fold.js';
export * from './parse-record.js';
