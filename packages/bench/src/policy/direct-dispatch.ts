import {
	Availability, type Candidate, type TargetSelector,
} from '@bluebellyard/core';
import {Dispatch} from './dispatch.js';
import type {SharedWorld, SimRequest} from './shared-world.js';

/** Makes the chooser of one instance. */
export type ChooserFactory = (instance: number) => TargetSelector;

/**
 * Every instance sends straight to the targets and knows only its own requests.
 * `share` bounds what one instance has at one target; more waits at the instance.
 */
export class DirectDispatch extends Dispatch {
	private readonly choosers: TargetSelector[];
	private readonly own: number[][];
	private readonly waiting: SimRequest[][];
	private readonly share: number;

	constructor(world: SharedWorld, chooser: ChooserFactory, share = Number.POSITIVE_INFINITY) {
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
			limit: this.world.cfg.target.slots,
		}));
	}

	private start(req: SimRequest, target: number): void {
		const {loop, cfg, targets} = this.world;
		this.own[req.instance][target] += 1;
		loop.after(cfg.hopMs, () => {
			targets[target].start(req.id, () => {
				loop.after(cfg.hopMs, () => {
					this.own[req.instance][target] -= 1;
					this.world.answer(req);
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
