export * from './listen.js';
export * from './pause.js';
export * from './read-arrived.js';
