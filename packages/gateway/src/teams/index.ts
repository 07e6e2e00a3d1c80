export * from './find-teams.js';
export * from './team-rates.js';
