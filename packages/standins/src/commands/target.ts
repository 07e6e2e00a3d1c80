import {
	command, flag, oneOf, option,
} from 'cmd-ts';
import {
	defaultTargetSettings as defaults, ServiceShape, Target, TargetKind,
} from '../target/index.js';
import {addrOption} from './addr.js';
import {numberOption, stringOption} from './options.js';
import {runStandIn} from './run-stand-in.js';

/** Runs the stand-in for a target. */
export const targetCommand = command({
	name: 'target',
	description: 'server that runs orders for the router',
	args: {
		addr: addrOption,
		name: stringOption('name', defaults.name, 'name in the membership list'),
		kind: option({
			long: 'kind', type: oneOf(Object.values(TargetKind)), defaultValue: () => defaults.kind,
		}),
		skipsFences: flag({long: 'no-fences', description: 'run every order without checking fences'}),
		slots: numberOption('slots', defaults.slots, 'number of orders that run at the same time'),
		serviceMs: numberOption('service-ms', defaults.serviceMs, 'mean service time in ms'),
		serviceShape: option({
			long: 'service-shape',
			type: oneOf(Object.values(ServiceShape)),
			defaultValue: () => defaults.serviceShape,
		}),
		coldRequests: numberOption('cold-requests', defaults.coldRequests, 'number of requests until warm; 0 if never cold'),
		coldMs: numberOption('cold-ms', defaults.coldMs, 'time until warm in ms; 0 if only requests warm it'),
		coldFactor: numberOption('cold-factor', defaults.coldFactor, 'service time factor when cold'),
		fallOverAfter: numberOption('fall-over-after', defaults.fallOverAfter, 'number of orders above the limit in 1 s that make it fall over'),
		fallOverMs: numberOption('fall-over-ms', defaults.fallOverMs, 'time for which it refuses all orders after it fell over, in ms'),
		payloadBytes: numberOption('payload-bytes', defaults.payloadBytes, 'payload of an answer in bytes'),
		reportLagMs: numberOption('report-lag-ms', defaults.reportLagMs, 'lag of health and load reports in ms'),
		journalFile: stringOption('journal-file', defaults.journalFile, 'file to which the ledger is also written'),
		seed: numberOption('seed', defaults.seed, 'seed of the service times'),
	},
	async handler({addr, skipsFences, ...settings}) {
		await runStandIn(new Target({...addr, ...settings, checksFences: !skipsFences}));
	},
});
