export * from './snapshot-reader.js';
export * from './snapshot-writer.js';
