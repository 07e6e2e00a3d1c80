export * from './clock/index.js';
export * from './errors/index.js';
export * from './ownership/index.js';
export * from './policy/index.js';
export * from './records/index.js';
export * from './rules/index.js';
export * from './state/index.js';
