/**
 * Waits until a configuration is in force at every instance.
 */
import {InstanceState, type Tables} from '@bluebellyard/core';
import type {CommandContext} from '../command-context.js';
import {ExitCode, type Report} from '../report.js';

const pollMs = 200;

/** Control addresses that the operator named, else those of the members of the roster. */
export function findControlAddresses(env: CommandContext, tables?: Tables): string[] {
	if (env.instances.length > 0 || !tables) {
		return [...env.instances];
	}

	return [...tables.instances.values()]
		.filter(row => row.state === InstanceState.Member)
		.map(row => row.controlAddr)
		.toSorted();
}

/** Where the configuration is not in force, and why. */
async function laggards(env: CommandContext, addresses: readonly string[], offset: number): Promise<string[]> {
	const found = await Promise.all(addresses.map(async address => {
		try {
			const {instance, config} = await env.instanceClient.fetchStatus(address);
			return config >= offset ? '' : `${address} ${instance}: configuration ${config}`;
		} catch {
			return `${address}: no answer`;
		}
	}));
	return found.filter(line => line !== '');
}

/** Polls until the offset, or a later one, is in force at all addresses or the time is over. */
export async function waitUntilInForce(env: CommandContext, addresses: readonly string[], offset: number): Promise<Report> {
	if (addresses.length === 0) {
		return {exit: ExitCode.Unreachable, lines: ['no instance is known'], json: {inForce: false, missing: []}};
	}

	const deadline = env.clock.now() + env.timeoutMs;
	for (;;) {
		// Each poll follows the one before.
		// eslint-disable-next-line no-await-in-loop
		const missing = await laggards(env, addresses, offset);
		if (missing.length === 0) {
			return {
				exit: ExitCode.Ok, lines: [`in force at ${addresses.length} instances`], json: {inForce: true, missing},
			};
		}

		if (env.clock.now() >= deadline) {
			return {
				exit: ExitCode.Unreachable, lines: ['not in force at:', ...missing], json: {inForce: false, missing},
			};
		}

		// eslint-disable-next-line no-await-in-loop
		await env.sleep(pollMs);
	}
}
