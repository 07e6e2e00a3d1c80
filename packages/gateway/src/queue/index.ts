export * from './dispatch-queue.js';
export * from './dispatch-queues.js';
export * from './target-client.js';
