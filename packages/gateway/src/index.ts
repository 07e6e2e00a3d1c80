export * from './cluster/suspect-log.js';
export * from './front/explain-endpoint.js';
export * from './queue/target-client.js';
export * from './queue/target-result.js';
export * from './gateway.js';
export * from './ports/index.js';
export * from './settings/index.js';
export * from './telemetry/index.js';
