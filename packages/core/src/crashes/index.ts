export * from './crash-board.js';
export * from './request-fingerprint.js';
export * from './run-ledger.js';
export * from './suspect.js';
