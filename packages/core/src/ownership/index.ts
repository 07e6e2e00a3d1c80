export * from './effect.js';
export type {Identity, Random} from './context.js';
export * from './local-tables.js';
export * from './member.js';
export * from './mutation.js';
export * from './placement-plan.js';
export * from './timing.js';
