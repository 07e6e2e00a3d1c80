export {noBytes, type Message} from './frames.js';
export * from './peer-link.js';
export * from './peer-net.js';
