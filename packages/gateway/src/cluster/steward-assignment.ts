import type {Telemetry} from '../telemetry/index.js';
import {
	sharedQueueId, targetQueueId, weighQueues, type NodeInfo, type View,
} from '../view/index.js';
import {withoutCutOff} from './cut-off-instances.js';
import type {FeedReader} from './feed-reader.js';
import {planStewards} from './steward-plan.js';

/** Options of a steward assignment. */
export type StewardAssignmentOptions = {
	readonly view: View;
	readonly telemetry: Telemetry;
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

/** Largest number of queues that a log line names. */
const maxLoggedQueues = 12;

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
		const inputs = [view.store.lastSeqOfPart('target'), view.store.lastSeqOfPart('service'), ...view.largeServices, ...live.map(node => node.incarnation)].join(' ');
		if (inputs === this.inputs) {
			return;
		}

		this.inputs = inputs;
		const hasLarge = view.hasLargeAnswers;
		const queues = weighQueues(view).map(queue => hasLarge ? queue : {queueId: queue.queueId, domain: queue.domain});
		const candidates = live.map(node => ({...node, cores: node.cores / (1 + (delayMs(node.name) / halfShareDelayMs))}));
		const small = new Set(live.filter(({cores}) => cores < minStewardCores).map(({name}) => name));
		const plan = planStewards(queues, candidates, queueId => view.findSteward(queueId), name => small.has(name));
		if (hasLarge) {
			this.logChanges(plan);
		}

		this.updateColdTimes(plan, now);
		view.replacePrefix('steward/', new Map([...plan].map(([queueId, name]) => [`steward/${queueId}`, name])));
	}

	private logChanges(plan: ReadonlyMap<string, string>): void {
		const {view, telemetry} = this.options;
		const changed = [...plan].filter(([queueId, name]) => view.findSteward(queueId) !== name);
		if (changed.length > 0) {
			const large = weighQueues(view).filter(({isLarge}) => isLarge).map(({queueId}) => `${queueId} ${plan.get(queueId) ?? 'none'}`).slice(0, maxLoggedQueues);
			telemetry.info('leader', 'Assigned dispatch queues by CPU time and bandwidth.', {queues: plan.size, changed: changed.length, large});
		}
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
