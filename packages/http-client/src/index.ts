export * from './verify-answer.js';
export * from './answer-framing.js';
export * from './answer-handler.js';
export * from './connection-state.js';
export * from './hold-end.js';
export * from './request-whole.js';
export * from './tracked-client.js';
export * from './read-pause.js';
export type * from './whole-answer.js';
