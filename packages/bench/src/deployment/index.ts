export * from './child.js';
export * from './cpu-time.js';
export * from './deployment.js';
export * from './wait-until-settled.js';
export * from './topology.js';
