import {
	sharedQueueId, targetQueueId, type NodeInfo, type View,
} from '../view/index.js';
import {withoutCutOff} from './cut-off-instances.js';
import type {FeedReader} from './feed-reader.js';
import {planStewards, type QueueToAssign} from './steward-plan.js';

/** Options of a steward assignment. */
export type StewardAssignmentOptions = {
	readonly view: View;
	readonly reader: Pick<FeedReader, 'remainingColdMs'>;
	/** Returns the instances that may be stewards. */
	readonly liveNodes: () => readonly NodeInfo[];
	/** Processor time in cores below which an instance gets queues only if its domain has no larger one: it gets as many callers as any other. */
	readonly minStewardCores?: number;
	/** Returns the time that work waits for CPU time in an instance, in milliseconds. */
	readonly delayMs: (instance: string) => number;
};

/** Delay at which an instance gets half of the new stewardships that its processor time stands for, in milliseconds; instances reject requests from about this delay on. */
const halfShareDelayMs = 50;

/** Keeps the stewards in the view up to date with targets, services and live instances. */
export class StewardAssignment {
	private readonly options: StewardAssignmentOptions;
	/** Inputs of the last assignment. */
	private inputs = '';

	constructor(options: StewardAssignmentOptions) {
		this.options = options;
	}

	/** Assigns dispatch queues to stewards when targets, services or live instances have changed. */
	update(now: number): void {
		const {view, liveNodes, delayMs, minStewardCores = 0} = this.options;
		const live = withoutCutOff(liveNodes(), name => view.isCutOff(name));
		const inputs = [view.store.lastSeqOfPart('target'), view.store.lastSeqOfPart('service'), ...live.map(node => node.incarnation)].join(' ');
		if (inputs === this.inputs) {
			return;
		}

		this.inputs = inputs;
		const queues = new Map<string, QueueToAssign>();
		for (const target of view.targets.values()) {
			const isSharded = view.allServices.get(target.service)?.isSharded ?? false;
			const queueId = isSharded ? targetQueueId(target.id) : sharedQueueId(target.service, target.domain);
			queues.set(queueId, {queueId, domain: target.domain});
		}

		const candidates = live.map(node => ({...node, cores: node.cores / (1 + (delayMs(node.name) / halfShareDelayMs))}));
		const small = new Set(live.filter(({cores}) => cores < minStewardCores).map(({name}) => name));
		const plan = planStewards([...queues.values()], candidates, queueId => view.findSteward(queueId), name => small.has(name));
		this.updateColdTimes(plan, now);
		view.replacePrefix('steward/', new Map([...plan].map(([queueId, name]) => [`steward/${queueId}`, name])));
	}

	/** Updates the remaining cold time of targets with a new steward, which counts it from now on. */
	private updateColdTimes(plan: ReadonlyMap<string, string>, now: number): void {
		const {view, reader} = this.options;
		for (const target of view.targets.values()) {
			const queueIds = [targetQueueId(target.id), sharedQueueId(target.service, target.domain)];
			const hasNewSteward = queueIds.some(queueId => plan.get(queueId) !== view.findSteward(queueId));
			if (hasNewSteward) {
				view.store.set(`target/${target.id}`, {...target, coldLeftMs: Math.round(reader.remainingColdMs(target.id, now))});
			}
		}
	}
}
