export * from './cluster-fold.js';
export * from './metered-log.js';
