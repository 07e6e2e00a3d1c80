export * from './request-fingerprint.js';
export * from './run-ledger.js';
