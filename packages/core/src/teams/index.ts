export * from './team.js';
export * from './team-limits.js';
