#!/usr/bin/env node
/**
 * Entry point of the operators' command.
 */
import process from 'node:process';
import {runCtl} from './app.js';
import {createHost} from './host.js';

process.exitCode = await runCtl(process.argv.slice(2), createHost());
