export * from './path-evidence.js';
export * from './path-monitor.js';
