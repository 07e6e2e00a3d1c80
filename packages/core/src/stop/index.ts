export * from './stop-schedule.js';
