export * from './bounded-labels.js';
export * from './bounded-writer.js';
export * from './metrics.js';
export * from './telemetry.js';
