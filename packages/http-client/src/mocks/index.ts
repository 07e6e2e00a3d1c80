export * from './raw-target.js';
