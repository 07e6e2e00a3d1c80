export * from './delta-store.js';
export * from './team-table.js';
export * from './view.js';
