export * from './seeded-random.js';
