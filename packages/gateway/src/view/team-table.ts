import {findInGroup, groupOf, type Team} from '@bluebellyard/core';
import type {GatewayConfig} from '../ports/index.js';
import type {DeltaStore} from './delta-store.js';

/** Prefixes of the rows with teams, by name, and with the keys of teams, by group (see `TeamKeys`). */
const teamPrefix = 'team/';
const keyPrefix = 'team-key/';

/** Returns the rows of the teams of a configuration. */
export function teamRows({teams = [], teamKeys}: Pick<GatewayConfig, 'teams' | 'teamKeys'>): ReadonlyMap<string, unknown> {
	return new Map<string, unknown>([
		...teams.map(team => [teamPrefix + team.name, team] as const),
		...[...teamKeys?.groups ?? []].map(([group, lines]) => [keyPrefix + group, lines] as const),
	]);
}

/** Returns whether a row belongs to the teams of the configuration. */
export function isTeamRow(key: string): boolean {
	return key.startsWith(teamPrefix) || key.startsWith(keyPrefix);
}

/** Reads the teams of the active configuration. */
export class TeamTable {
	private readonly store: Pick<DeltaStore, 'get' | 'withPrefix' | 'lastSeqOfPart'>;
	private list: readonly Team[] = [];
	private builtAtSeq = 0;

	constructor(store: Pick<DeltaStore, 'get' | 'withPrefix' | 'lastSeqOfPart'>) {
		this.store = store;
	}

	/** All teams. */
	get teams(): readonly Team[] {
		const seq = this.store.lastSeqOfPart('team');
		if (this.builtAtSeq !== seq) {
			this.builtAtSeq = seq;
			this.list = [...this.store.withPrefix<Team>(teamPrefix)].map(([, team]) => team);
		}

		return this.list;
	}

	/** Returns the team that has the key with a digest; undefined if no team has it. Takes the same time for any number of keys. */
	find(digest: string): Team | undefined {
		const group = this.store.get<string>(keyPrefix + groupOf(digest));
		const name = group === undefined ? undefined : findInGroup(group, digest);
		return name === undefined ? undefined : this.store.get<Team>(teamPrefix + name);
	}
}
