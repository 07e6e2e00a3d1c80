export * from './host-routes.js';
export * from './model.js';
export * from './weighted-round-robin.js';
