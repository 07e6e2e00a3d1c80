/**
 * Waits until a configuration is in force at every instance.
 */
import {InstanceState, type Tables} from '@bluebellyard/core';
import type {CommandContext} from '../command-context.js';
import {ExitCode, type Report} from '../report.js';

const pollIntervalMs = 200;

/** Returns the control addresses that the operator specified, or else those of the current members. */
export function findControlAddresses(context: CommandContext, tables?: Tables): string[] {
	if (context.instances.length > 0 || !tables) {
		return [...context.instances];
	}

	return [...tables.instances.values()]
		.filter(row => row.state === InstanceState.Member)
		.map(row => row.controlAddr)
		.toSorted();
}

/** Returns a line for each address at which the configuration is not in force, with the reason. */
async function findMissing(context: CommandContext, addresses: readonly string[], offset: number): Promise<string[]> {
	const lines = await Promise.all(addresses.map(async address => {
		try {
			const {instance, config} = await context.instanceClient.fetchStatus(address);
			return config >= offset ? '' : `${address} ${instance}: configuration ${config}`;
		} catch {
			return `${address}: no answer`;
		}
	}));
	return lines.filter(line => line !== '');
}

/** Polls until the configuration at the offset, or a later one, is in force at all addresses, or the timeout is over. */
export async function waitUntilInForce(context: CommandContext, addresses: readonly string[], offset: number): Promise<Report> {
	if (addresses.length === 0) {
		return {exit: ExitCode.Unreachable, lines: ['no instance is known'], json: {inForce: false, missing: []}};
	}

	const deadline = context.clock.now() + context.timeoutMs;
	for (;;) {
		// Polls are sequential.
		// eslint-disable-next-line no-await-in-loop
		const missing = await findMissing(context, addresses, offset);
		if (missing.length === 0) {
			return {
				exit: ExitCode.Ok, lines: [`in force at ${addresses.length} instances`], json: {inForce: true, missing},
			};
		}

		if (context.clock.now() >= deadline) {
			return {
				exit: ExitCode.Unreachable, lines: ['not in force at:', ...missing], json: {inForce: false, missing},
			};
		}

		// eslint-disable-next-line no-await-in-loop
		await context.sleep(pollIntervalMs);
	}
}
