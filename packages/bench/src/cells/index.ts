export * from './cell-harness.js';
export * from './topology.js';
