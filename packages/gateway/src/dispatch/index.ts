export * from './closed-ranges.js';
export * from './crash-guard.js';
export * from './dispatcher.js';
export * from './order.js';
export * from './request-explainer.js';
export * from './retry-decider.js';
export * from './selector-switch.js';
export * from './trial-runner.js';
