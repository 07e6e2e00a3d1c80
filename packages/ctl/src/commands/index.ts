export * from './check.js';
export * from './drain.js';
export * from './explain.js';
export * from './publish.js';
export * from './show.js';
export * from './status.js';
export {findControlAddresses as controlAddresses, waitUntilInForce as waitInForce} from './wait-until-in-force.js';
