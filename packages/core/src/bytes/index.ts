export * from './memory-budget.js';
export * from './body-buffer.js';
