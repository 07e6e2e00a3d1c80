import {
	Availability, type Candidate, type TargetSelector,
} from '@bluebellyard/core';
import {Dispatcher} from './dispatcher.js';
import type {SharedPoolSimulation, SimRequest} from './shared-pool-simulation.js';

/** Makes the chooser of one instance. */
export type SelectorFactory = (instance: number) => TargetSelector;

/**
 * Every instance sends straight to the targets and knows only its own requests.
 * `share` bounds what one instance has at one target; more waits at the instance.
 */
export class DirectDispatcher extends Dispatcher {
	private readonly choosers: TargetSelector[];
	private readonly own: number[][];
	private readonly waiting: SimRequest[][];
	private readonly share: number;

	constructor(world: SharedPoolSimulation, chooser: SelectorFactory, share = Number.POSITIVE_INFINITY) {
		super(world);
		this.share = share;
		const {instances, targets} = world.cfg;
		this.choosers = Array.from({length: instances}, (_, i) => chooser(i));
		this.own = Array.from({length: instances}, () => Array.from({length: targets}, () => 0));
		this.waiting = Array.from({length: instances}, () => []);
	}

	override send(req: SimRequest): void {
		const target = this.pick(req.instance);
		if (target === undefined) {
			this.waiting[req.instance].push(req);
			return;
		}

		this.start(req, target);
	}

	private pick(instance: number): number | undefined {
		const chosen = this.choosers[instance].select(this.candidates(instance));
		return chosen === undefined ? undefined : Number(chosen.name);
	}

	private candidates(instance: number): Candidate[] {
		return this.own[instance].map((load, target) => ({
			name: String(target),
			availability: load < this.share ? Availability.Available : Availability.Unavailable,
			load,
			limit: this.simulation.cfg.target.slots,
		}));
	}

	private start(req: SimRequest, target: number): void {
		const {loop, cfg, targets} = this.simulation;
		this.own[req.instance][target] += 1;
		loop.schedule(cfg.networkDelayMs, () => {
			targets[target].start(req.id, () => {
				loop.schedule(cfg.networkDelayMs, () => {
					this.own[req.instance][target] -= 1;
					this.simulation.recordAnswer(req);
					this.serveWaiting(req.instance);
				});
			});
		});
	}

	private serveWaiting(instance: number): void {
		const next = this.waiting[instance].shift();
		if (next !== undefined) {
			this.send(next);
		}
	}
}
