import {command} from 'cmd-ts';
import {MembershipList} from '../membership/index.js';
import {addrOption} from './addr.js';
import {numberOption} from './options.js';
import {runStandIn} from './run-stand-in.js';

/** Runs the stand-in for the membership list. */
export const membershipCommand = command({
	name: 'membership',
	description: 'list of live and leaving targets and instances',
	args: {
		addr: addrOption,
		lagMs: numberOption('lag-ms', 0, 'time until readers see a change, in ms'),
	},
	async handler({addr, lagMs}) {
		await runStandIn(new MembershipList({...addr, lagMs}));
	},
});
