export * from './folded-log.js';
export * from './instance-client.js';
