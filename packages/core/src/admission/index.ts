export * from './request-age-estimator.js';
export * from './cold-rate-limiter.js';
export * from './target-limiter.js';
export * from './work-estimator.js';
export * from './admission-queue.js';
export * from './target-conditions.js';
export * from './named-rate-limiter.js';
export type {QueuedRequest, RequestRefusal} from './queued-request.js';
