import {leavingPart, limitPart, type View} from '../view/index.js';
import type {Measurements} from './measurements.js';

/** Publishes what targets say about themselves. Returns whether it changed. */
export function publishConditions(view: View, measurements: Measurements, now: number): boolean {
	const getVersion = () => [limitPart, leavingPart].map(part => view.store.lastSeqOfPart(part)).join('/');
	const before = getVersion();
	const isKnown = (target: string) => view.targets.has(target);
	const limits = measurements.limits(isKnown, now);
	view.replacePrefix(`${limitPart}/`, new Map([...limits].map(([target, limit]) => [`${limitPart}/${target}`, limit])));
	const leaving = measurements.leavingTargets(isKnown);
	view.replacePrefix(`${leavingPart}/`, new Map([...leaving].map(target => [`${leavingPart}/${target}`, true])));
	return getVersion() !== before;
}
