import {isKnownService} from './known-service.js';
import {sharedQueueId, targetQueueId} from './queue-id.js';
import type {View} from './view.js';

/** A dispatch queue, with what it demands of its steward. */
export type WeighedQueue = {
	readonly queueId: string;
	/** Failure domain of its targets. */
	readonly domain: string;
	/** Number of slots of its targets. */
	readonly weight: number;
	/** Whether a route with large responses leads to its service. */
	readonly isLarge: boolean;
};

/** Returns all dispatch queues of the targets of known services, in the order of their first targets. */
export function weighQueues(view: Pick<View, 'targets' | 'allServices' | 'largeServices'>): WeighedQueue[] {
	const queues = new Map<string, WeighedQueue>();
	for (const {id, service, domain, slots} of view.targets.values()) {
		if (!isKnownService(view, service)) {
			continue;
		}

		const isSharded = view.allServices.get(service)?.isSharded ?? false;
		const queueId = isSharded ? targetQueueId(id) : sharedQueueId(service, domain);
		const weight = (queues.get(queueId)?.weight ?? 0) + Math.max(1, slots);
		queues.set(queueId, {
			queueId, domain, weight, isLarge: view.largeServices.has(service),
		});
	}

	return [...queues.values()];
}

/** Returns the slots of the targets to which an instance sends work as steward, by their responses (`large` or `other`); none while no route has large responses. */
export function stewardSlots(view: View, instance: string): Array<readonly [responses: string, slots: number]> {
	if (!view.hasLargeAnswers) {
		return [];
	}

	const own = weighQueues(view).filter(({queueId}) => view.findSteward(queueId) === instance);
	const count = (isCounted: boolean) => {
		let slots = 0;
		for (const {weight, isLarge} of own) {
			slots += isLarge === isCounted ? weight : 0;
		}

		return slots;
	};

	return [['large', count(true)], ['other', count(false)]];
}
