export * from './feed.js';
export * from './keyed-log.js';
export * from './target-control.js';
export * from './wire.js';
