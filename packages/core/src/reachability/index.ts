export * from './path-evidence.js';
export * from './path-monitor.js';
export type {OverdueRequest} from './silence-detector.js';
export * from './target-reach.js';
