export * from './body-buffer.js';
