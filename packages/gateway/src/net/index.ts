export * from './cancellation.js';
export * from './listen.js';
export * from './sleep.js';
export * from './wait-for-pending-reads.js';
