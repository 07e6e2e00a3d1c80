export * from './control-server.js';
