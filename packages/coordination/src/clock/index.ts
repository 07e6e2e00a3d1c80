export type * from './clock.js';
