export * from './counters.js';
export * from './memory-counters.js';
export * from './statsd-counters.js';
export * from './create-counters.js';
