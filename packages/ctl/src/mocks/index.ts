export * from './fake-host.js';
