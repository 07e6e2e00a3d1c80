export * from './request-age-estimator.js';
export * from './cold-rate-limiter.js';
export * from './target-limiter.js';
export * from './work-estimator.js';
export * from './admission-queue.js';
export * from './target-conditions.js';
