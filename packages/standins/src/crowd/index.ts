export * from './crowd.js';
export * from './process-use.js';
