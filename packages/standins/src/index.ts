export * from './crowd/index.js';
export * from './host/index.js';
export * from './log/index.js';
export * from './membership/index.js';
export * from './ports/index.js';
export * from './target/index.js';
