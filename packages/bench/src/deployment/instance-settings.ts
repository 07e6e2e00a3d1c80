import {stringify} from 'ini';
import type {InstancePlan, SettingsOverrides} from './topology.js';

/** Where an instance finds the platform. */
export type PlatformAddrs = {
	readonly log: string;
	readonly membership: string;
};

/** Keys of the section `listen`. */
export const listenKeys = ['callers', 'internal', 'peers', 'control'] as const;

/** Text of the settings file of one instance; `ports` are in the order of `listenKeys`. */
export function formatInstanceSettings(
	plan: InstancePlan,
	ports: readonly number[],
	platform: PlatformAddrs,
	overrides: SettingsOverrides = {},
): string {
	const sections: Record<string, Record<string, string>> = {
		instance: {name: plan.name, domain: plan.domain},
		listen: Object.fromEntries(listenKeys.map((key, i) => [key, `127.0.0.1:${ports[i]}`])),
		platform: {log: `http://${platform.log}`, membership: `http://${platform.membership}`},
		tls: {mode: 'off'},
		log: {level: 'warn'},
	};
	for (const [section, keys] of Object.entries(overrides)) {
		sections[section] = {...sections[section], ...keys};
	}

	return stringify(sections);
}
