export * from './base-header.js';
export * from './line-diff.js';
