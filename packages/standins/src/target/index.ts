export * from './answer-body.js';
export * from './cold-start.js';
export * from './grants.js';
export * from './ledger.js';
export * from './service-time.js';
export * from './target-options.js';
export * from './target.js';
export * from './work.js';
