export * from './hold.js';
export * from './key-load.js';
export * from './key-map.js';
export * from './key-range.js';
export * from './plan-keys.js';
