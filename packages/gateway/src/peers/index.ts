export type * from './call-handler.js';
export {noBytes, type Message} from './frames.js';
export * from './link-error.js';
export * from './peer-link.js';
export * from './peer-net.js';
