import type {Team} from '@bluebellyard/core';
import type {View} from '../view/index.js';

/** Returns the teams of the active configuration. */
export function findTeams(view: View): readonly Team[] {
	return [...view.store.withPrefix<Team>('team/')].map(([, team]) => team);
}
