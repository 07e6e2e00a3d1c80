export * from './listen.js';
export * from './pause.js';
