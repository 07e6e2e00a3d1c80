export * from './credentials.js';
export * from './peer-client.js';
export * from './peer-clients.js';
export * from './peer-server.js';
