import {WorkEstimator, type Clock} from '@bluebellyard/core';
import type {Order, OrderResult} from '../dispatch/order.js';
import type {Telemetry} from '../telemetry/index.js';
import {sharedQueueId, targetQueueId, type View} from '../view/index.js';
import {DispatchQueue, type QueueTarget} from './dispatch-queue.js';
import type {TargetClient} from './target-client.js';

/** Settings of the desks. */
export type DispatchQueuesOptions = {
	readonly view: View;
	readonly client: TargetClient;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	readonly onNotOwner: (target: string, order: Order) => void;
};

/** The desks of this instance. One is made when the first order for it comes. */
export class DispatchQueues {
	private readonly desks = new Map<string, DispatchQueue>();
	private readonly estimate = new WorkEstimator();
	/** State of the view that the desks follow. */
	private seen = '';

	constructor(private readonly options: DispatchQueuesOptions) {
		options.view.onChange(() => {
			this.followView();
		});
	}

	/** Requests that wait at all desks. */
	get queued(): number {
		return this.sum(desk => desk.queued);
	}

	/** Requests at targets. */
	get inFlight(): number {
		return this.sum(desk => desk.inFlight);
	}

	/** Expected work of a request on a target of usual speed, in milliseconds. */
	expectedWork(route: string, objectiveMs: number): number {
		return this.estimate.estimate(route, objectiveMs);
	}

	/** Lasting slowness of the targets that this instance sends work to. */
	targetSlowness(): Array<readonly [string, number]> {
		const own = [...this.desks].filter(([id]) => this.options.view.findSteward(id) !== undefined);
		return own.flatMap(([, desk]) => desk.targetSlowness());
	}

	/** Runs an order at a desk. */
	async run(id: string, order: Order, signal: AbortSignal): Promise<OrderResult> {
		return this.desk(id).run(order, signal);
	}

	private desk(id: string): DispatchQueue {
		const known = this.desks.get(id);
		if (known !== undefined) {
			return known;
		}

		const desk = new DispatchQueue({...this.options, estimate: this.estimate});
		this.desks.set(id, desk);
		desk.setTargets(this.targetsByDesk().get(id) ?? []);
		return desk;
	}

	private followView(): void {
		const {store} = this.options.view;
		const seen = ['target', 'service', 'evacuated'].map(part => store.lastSeqOfPart(part)).join('/');
		if (seen === this.seen) {
			return;
		}

		this.seen = seen;
		const targets = this.targetsByDesk();
		for (const [id, desk] of this.desks) {
			const own = targets.get(id);
			desk.setTargets(own ?? []);
			if (own === undefined && desk.queued === 0 && desk.inFlight === 0) {
				this.desks.delete(id);
			}
		}
	}

	private targetsByDesk(): Map<string, QueueTarget[]> {
		const {view} = this.options;
		const byDesk = new Map<string, QueueTarget[]>();
		for (const target of view.targets.values()) {
			const service = view.allServices.get(target.service);
			if (service === undefined || !view.isUsable(target)) {
				continue;
			}

			const id = service.isSharded ? targetQueueId(target.id) : sharedQueueId(target.service, target.domain);
			const list = byDesk.get(id) ?? [];
			list.push({...target, coldRate: service.coldRate});
			byDesk.set(id, list);
		}

		return byDesk;
	}

	private sum(figure: (desk: DispatchQueue) => number): number {
		let sum = 0;
		for (const desk of this.desks.values()) {
			sum += figure(desk);
		}

		return sum;
	}
}
