export * from './member-host.js';
export * from './report-gauges.js';
