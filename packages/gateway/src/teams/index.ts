export * from './team-admission.js';
export * from './team-rates.js';
