export * from './team-admission.js';
