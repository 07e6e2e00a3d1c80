export * from './balanced-selector.js';
export * from './balancing-mode.js';
export * from './domain-selector.js';
export * from './own-domain-selector.js';
export * from './queue-load.js';
export * from './queue-state.js';
