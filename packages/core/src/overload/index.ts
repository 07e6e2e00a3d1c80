export * from './lag-meter.js';
export * from './local-admission.js';
