export * from './clock.js';
export * from './manual-clock.js';
