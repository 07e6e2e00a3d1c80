export * from './call.js';
export * from './common-faults.js';
export * from './http-stand-in.js';
export * from './json-body.js';
export * from './lagged-value.js';
export * from './machine-clock.js';
