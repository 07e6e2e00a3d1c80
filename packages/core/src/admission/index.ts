export * from './attempt-age.js';
export * from './cold-limit.js';
export * from './lane.js';
export * from './work-estimate.js';
export * from './work-gate.js';
