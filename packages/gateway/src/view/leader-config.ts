import type {GatewayConfig} from '../ports/index.js';
import type {Delta} from './delta-store.js';
import {isTeamRow, teamRows} from './team-table.js';
import {configPart} from './view-parts.js';

/** Returns whether a row is one of the configuration. */
export function isConfigRow(key: string): boolean {
	return key === configPart || key.startsWith('route/') || key.startsWith('service/') || isTeamRow(key);
}

type Rows = ReadonlyMap<string, unknown>;

/** Returns the rows of a configuration; that with its version is the last one. */
export function toConfigRows(config: GatewayConfig): Rows {
	const {version, limits, routes, services} = config;
	return new Map<string, unknown>([
		...routes.map(route => [`route/${route.name}`, route] as const),
		...services.map(service => [`service/${service.name}`, service] as const),
		...teamRows(config),
		[configPart, {version, limits}],
	]);
}

/**
 * The configuration of the leader at an instance that keeps a newer one. Changes of the leader's configuration are based
 * on these rows, so that the instance can take over a newer one as a whole without asking for the whole view.
 */
export class LeaderConfig {
	readonly rows: Rows;

	constructor(rows: Rows) {
		this.rows = rows;
	}

	/** Version; -1 if the leader has none. */
	get version(): number {
		return (this.rows.get(configPart) as {readonly version: number} | undefined)?.version ?? -1;
	}

	/** Returns the configuration after changes of the leader. */
	after({isFull, set, gone}: Delta): LeaderConfig {
		const rows = new Map(isFull ? [] : this.rows);
		for (const key of gone) {
			rows.delete(key);
		}

		for (const [key, value] of set.filter(([changed]) => isConfigRow(changed))) {
			rows.set(key, value);
		}

		return new LeaderConfig(rows);
	}

	/** Returns changes with this configuration in place of one with other rows. */
	replace(own: Rows, delta: Delta): Delta {
		return {
			...delta,
			set: [...delta.set.filter(([key]) => !isConfigRow(key)), ...this.rows],
			gone: [...delta.gone.filter(key => !isConfigRow(key)), ...[...own.keys()].filter(key => !this.rows.has(key))],
		};
	}
}
