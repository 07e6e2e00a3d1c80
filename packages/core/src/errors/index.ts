export * from './error-kind.js';
export * from './request-error.js';
export * from './retry-reason.js';
