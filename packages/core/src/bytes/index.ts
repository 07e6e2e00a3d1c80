export * from './body-budget.js';
export * from './body-buffer.js';
