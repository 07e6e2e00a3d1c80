export * from './control-record.js';
