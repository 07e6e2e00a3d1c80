export * from './caller-connections.js';
export * from './caller-server.js';
export * from './explain-endpoint.js';
export * from './overload-check.js';
export * from './probe-server.js';
export * from './refusal.js';
