export * from './exchange.js';
export * from './headers.js';
export * from './load-meter.js';
export type * from './order.js';
export * from './target-client.js';
export * from './target-executor.js';
export * from './target-executor-table.js';
