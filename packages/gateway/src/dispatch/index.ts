export * from './closed-ranges.js';
export * from './desk-waits.js';
export * from './dispatcher.js';
export * from './order.js';
