export * from './settings.js';
export * from './process-limits.js';
export * from './to-retry-budget.js';
