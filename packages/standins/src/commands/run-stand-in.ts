import process from 'node:process';
import type {CommonFaults, HttpStandIn} from '../host/index.js';

/** Starts a stand-in, prints its address, and stops it on SIGTERM or SIGINT. */
export async function runStandIn(standIn: HttpStandIn<CommonFaults>): Promise<void> {
	const stop = (): void => {
		void standIn.stop();
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
	await standIn.start();
	console.log(`ready ${standIn.addr}`);
}
