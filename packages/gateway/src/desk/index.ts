export * from './desk.js';
export * from './desks.js';
export * from './target-client.js';
