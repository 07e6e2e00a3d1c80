#!/usr/bin/env node
import process from 'node:process';
import {run, subcommands} from 'cmd-ts';
import {logCommand} from './commands/log.js';
import {membershipCommand} from './commands/membership.js';
import {targetCommand} from './commands/target.js';

const app = subcommands({
	name: 'standins',
	description: 'stand-ins for the platform services and the targets',
	cmds: {log: logCommand, membership: membershipCommand, target: targetCommand},
});

await run(app, process.argv.slice(2));
