import {suspectPart, type View} from '../view/index.js';
import type {SuspectLog} from './suspect-log.js';
import type {SuspectRegistry} from './suspect-registry.js';

/**
 * Loads the stored suspects for a process that has heard of none from a leader: into the register if this instance
 * leads, otherwise into its view, unless that is a leader's by the time of the answer. Rejects if the store can't be reached.
 */
export async function loadSuspects(log: SuspectLog, registry: SuspectRegistry | undefined, view: View, isLeaderView: () => boolean = () => false): Promise<void> {
	if (registry !== undefined) {
		await registry.load();
		return;
	}

	const {suspects} = await log.list();
	if (isLeaderView()) {
		return;
	}

	for (const [print, suspect] of suspects) {
		view.store.set(`${suspectPart}/${print}`, suspect);
	}
}
