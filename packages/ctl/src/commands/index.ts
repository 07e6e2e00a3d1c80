export * from './check.js';
export * from './drain.js';
export * from './explain.js';
export * from './publish.js';
export * from './show.js';
export * from './status.js';
export {findControlAddresses, waitUntilInForce} from './wait-until-in-force.js';
