export * from './app.js';
export * from './commands/index.js';
export * from './ctl-error.js';
export type {CommandContext as Env} from './command-context.js';
export * from './platform/index.js';
export * from './report.js';
