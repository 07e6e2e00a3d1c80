export * from './peer-link.js';
export * from './peer-net.js';
