export * from './distributions.js';
export * from './seeded-random.js';
