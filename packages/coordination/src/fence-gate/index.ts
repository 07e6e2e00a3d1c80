export * from './fence-gate.js';
