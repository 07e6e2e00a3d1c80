export * from './endless-server.js';
export * from './fake-log.js';
export * from './fake-log-server.js';
export * from './manual-clock.js';
export * from './register-fold.js';
