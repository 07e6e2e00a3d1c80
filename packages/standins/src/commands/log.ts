import {command} from 'cmd-ts';
import {LogService} from '../log/index.js';
import {addrOption} from './addr.js';
import {numberOption} from './options.js';
import {runStandIn} from './run-stand-in.js';

/** Runs the stand-in for the log service. */
export const logCommand = command({
	name: 'log',
	description: 'append-only log with offsets',
	args: {
		addr: addrOption,
		maxAgeMs: numberOption('max-age-ms', 0, 'age after which records are dropped, in ms; 0 for never'),
		maxRecords: numberOption('max-records', 0, 'maximum number of records retained; 0 for no limit'),
	},
	async handler({addr, ...retention}) {
		await runStandIn(new LogService({...addr, ...retention}));
	},
});
