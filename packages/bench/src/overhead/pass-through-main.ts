import process from 'node:process';
import {createPassThroughServer} from './pass-through.js';

/** Arguments: address of the target, port to listen on, connections to the target. */
const [targetAddr, port, connections] = process.argv.slice(2);

const server = createPassThroughServer(targetAddr, Number(connections));
server.listen(Number(port), '127.0.0.1', () => {
	console.log(`ready 127.0.0.1:${port}`);
});
process.once('SIGTERM', () => {
	server.close();
	server.closeAllConnections();
	process.exit(0);
});
