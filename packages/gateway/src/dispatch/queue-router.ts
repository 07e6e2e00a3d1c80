import type {Clock} from '@bluebellyard/core';
import type {PeerNet} from '../peers/index.js';
import type {NodeInfo, View} from '../view/index.js';

/** Time for which an instance that gave an order back receives no further ones for the queue unless the view names it anew, in milliseconds; by then the leader has named another steward or learned that there is none. */
const returnValidMs = 1000;

/** Options of a queue router. */
export type QueueRouterOptions = {
	readonly self: NodeInfo;
	readonly view: View;
	readonly net: Pick<PeerNet, 'isUnreachable'>;
	readonly clock: Clock;
	/** Returns a random number from 0 to 1. */
	readonly random: () => number;
	/** Returns whether another instance should run the orders of this one, since this one is cut off from the targets. */
	readonly isReleased: () => boolean;
};

/** Where an order for a dispatch queue runs. */
export type QueueRoute = {
	/** Instance that it is forwarded to; undefined for this one. */
	readonly node: NodeInfo | undefined;
	/** Whether that instance is the steward of the queue as far as this one knows. */
	readonly isSteward: boolean;
};

/** An order that an instance gave back. */
type ReturnedOrder = {
	readonly name: string;
	readonly at: number;
};

/** Selects the instance that runs the orders of a dispatch queue: its steward, unless that is not reachable or is cut off from the targets. */
export class QueueRouter {
	private readonly options: QueueRouterOptions;
	/** Last returns by queue id. */
	private readonly returns = new Map<string, ReturnedOrder[]>();

	constructor(options: QueueRouterOptions) {
		this.options = options;
	}

	/** Selects the instance for an order. */
	select(queueId: string): QueueRoute {
		const {view, self, net, isReleased} = this.options;
		const name = view.findSteward(queueId);
		const steward = name === undefined ? undefined : view.store.get<NodeInfo>(`node/${name}`);
		const returned = this.returnedBy(queueId);
		if (steward !== undefined && steward.name !== self.name && !net.isUnreachable(steward.addr) && !returned.has(steward.name)) {
			return {node: steward, isSteward: true};
		}

		const substitute = isReleased() ? this.findSubstitute(returned) : undefined;
		return substitute === undefined ? {node: undefined, isSteward: name === self.name} : {node: substitute, isSteward: false};
	}

	/** Records that an instance gave an order back that it had not sent. */
	recordReturn(queueId: string, name: string): void {
		const {clock} = this.options;
		const now = clock.now();
		const recent = (this.returns.get(queueId) ?? []).filter(({at}) => now - at < returnValidMs);
		this.returns.set(queueId, [...recent.filter(entry => entry.name !== name), {name, at: now}]);
	}

	private returnedBy(queueId: string): ReadonlySet<string> {
		const known = this.returns.get(queueId);
		if (known === undefined) {
			return new Set();
		}

		const now = this.options.clock.now();
		const recent = known.filter(({at}) => now - at < returnValidMs);
		if (recent.length === 0) {
			this.returns.delete(queueId);
		}

		return new Set(recent.map(({name}) => name));
	}

	private findSubstitute(returned: ReadonlySet<string>): NodeInfo | undefined {
		const candidates = findSubstitutes(this.options, returned);
		return candidates[Math.floor(this.options.random() * candidates.length)];
	}
}

/** Returns the other instances that are not cut off as far as is known, those in the domain of this one if there are any. */
export function findSubstitutes({view, self, net}: Pick<QueueRouterOptions, 'view' | 'self' | 'net'>, returned: ReadonlySet<string> = new Set()): readonly NodeInfo[] {
	const others = view.nodes().filter(({name, addr}) => name !== self.name && !view.isCutOff(name) && !returned.has(name) && !net.isUnreachable(addr));
	const near = others.filter(({domain}) => domain === self.domain);
	return near.length > 0 ? near : others;
}
