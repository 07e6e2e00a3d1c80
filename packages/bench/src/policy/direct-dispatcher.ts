import {
	Availability, type Candidate, type TargetSelector,
} from '@bluebellyard/core';
import {Dispatcher} from './dispatcher.js';
import type {SharedPoolSimulation, SimRequest} from './shared-pool-simulation.js';

/** Creates the target selector of one instance. */
export type SelectorFactory = (instance: number) => TargetSelector;

/**
 * Every instance sends directly to the targets and knows only its own requests.
 * `maxPerTarget` limits the requests in flight from one instance to one target; further requests wait at the instance.
 */
export class DirectDispatcher extends Dispatcher {
	private readonly selectors: TargetSelector[];
	private readonly inFlight: number[][];
	private readonly waiting: SimRequest[][];
	private readonly maxPerTarget: number;

	constructor(simulation: SharedPoolSimulation, createSelector: SelectorFactory, maxPerTarget = Number.POSITIVE_INFINITY) {
		super(simulation);
		this.maxPerTarget = maxPerTarget;
		const {instances, targets} = simulation.cfg;
		this.selectors = Array.from({length: instances}, (_, idx) => createSelector(idx));
		this.inFlight = Array.from({length: instances}, () => Array.from({length: targets}, () => 0));
		this.waiting = Array.from({length: instances}, () => []);
	}

	override send(req: SimRequest): void {
		const target = this.selectTarget(req.instance);
		if (target === undefined) {
			this.waiting[req.instance].push(req);
			return;
		}

		this.sendToTarget(req, target);
	}

	private selectTarget(instance: number): number | undefined {
		const selected = this.selectors[instance].select(this.listCandidates(instance));
		return selected === undefined ? undefined : Number(selected.name);
	}

	private listCandidates(instance: number): Candidate[] {
		return this.inFlight[instance].map((load, target) => ({
			name: String(target),
			availability: load < this.maxPerTarget ? Availability.Available : Availability.Unavailable,
			load,
			limit: this.simulation.cfg.target.slots,
		}));
	}

	private sendToTarget(req: SimRequest, target: number): void {
		const {loop, cfg, targets} = this.simulation;
		this.inFlight[req.instance][target] += 1;
		loop.schedule(cfg.networkDelayMs, () => {
			targets[target].start(req.id, () => {
				loop.schedule(cfg.networkDelayMs, () => {
					this.inFlight[req.instance][target] -= 1;
					this.simulation.recordAnswer(req);
					this.sendNextWaiting(req.instance);
				});
			});
		});
	}

	private sendNextWaiting(instance: number): void {
		const next = this.waiting[instance].shift();
		if (next !== undefined) {
			this.send(next);
		}
	}
}
