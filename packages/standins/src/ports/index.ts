export {findFreePorts, reservePort} from './free-ports.js';
