export * from './delta-store.js';
export * from './view.js';
