/**
 * Explains where a request would go now, and why, without sending it.
 */
import {
	ErrorKind, priorityOf, Repeat, type Clock, type HostRoute, type Team,
} from '@bluebellyard/core';
import type {PeerNet} from '../peers/index.js';
import type {QueueSnapshot} from '../queue/index.js';
import {
	sharedQueueId, targetQueueId, type NodeInfo, type View,
} from '../view/index.js';
import {findSubstitutes} from './queue-router.js';

/** The request to explain. */
export type ExplainQuery = {
	readonly host: string;
	/** Path with the query string. */
	readonly path: string;
	/** Key, for a sharded service. */
	readonly key?: number;
	/** Name of the caller's team; undefined without one. */
	readonly team?: string;
};

/** A queue to which the request may go. Times are milliseconds. */
export type ExplainedQueue = {
	readonly queue: string;
	readonly domain: string | undefined;
	/** Targets of the queue that may receive work. */
	readonly targets: readonly string[];
	/** Instance that sends the work; undefined if none is known. */
	readonly steward: string | undefined;
	/** How the request reaches it. */
	readonly via: QueuePath;
	/** Why the request does not run at the steward, and where it may run instead; set if `via` is `QueuePath.Around`. */
	readonly around?: WayAround;
	/** State of the queue if this instance is its steward; only the steward knows it. */
	readonly state: QueueSnapshot | undefined;
};

/** How a request gets from this instance to a queue. */
export enum QueuePath {
	/** This instance is the steward. */
	Own = 'own',
	/** It is forwarded to the steward. */
	Forwarded = 'forwarded',
	/** The steward is unknown or can't be reached, so that this instance sends it on its own. */
	WithoutSteward = 'without-steward',
	/** The steward, or this instance, is cut off from the targets, so that another instance sends it. */
	Around = 'around',
}

/** A way to the targets around an instance that is cut off from them. */
export type WayAround = {
	/** The instance that would send the request if it were not cut off: the steward or this one. */
	readonly cutOff: string;
	/** Instances one of which sends it; this one, if the steward gives the request back. */
	readonly instances: readonly string[];
};

/** Explanation of one service of the route; with a weighted split there are several. */
export type ExplainedService = {
	readonly service: string;
	readonly weight: number;
	/** Range of keys with its owner, for a sharded service. */
	readonly range?: {readonly from: number; readonly to: number; readonly owner: string; readonly isOpen: boolean};
	readonly queues: readonly ExplainedQueue[];
	/** What would refuse the request now; undefined if nothing that this instance knows. */
	readonly refusal?: {readonly error: ErrorKind; readonly reason: string};
};

/** Where a request would go now, by what this instance knows. */
export type Explanation = {
	readonly instance: string;
	readonly configVersion: number | undefined;
	/** Time since the leader was heard, in milliseconds: the age of what this instance knows. */
	readonly viewAgeMs: number;
	/** Names of the instances that are cut off from the targets, this one included; left out if there are none. */
	readonly cutOff?: readonly string[];
	readonly route?: string;
	readonly priority?: number;
	readonly isIdempotent?: boolean;
	readonly services: readonly ExplainedService[];
	readonly refusal?: {readonly error: ErrorKind; readonly reason: string};
};

/** Options of an explainer. */
export type RequestExplainerOptions = {
	readonly self: NodeInfo;
	readonly view: View;
	readonly net: Pick<PeerNet, 'isUnreachable'>;
	readonly clock: Clock;
	/** Returns whether another instance should run the orders of this one, since this one is cut off from the targets. */
	readonly isReleased: () => boolean;
	/** Returns the state of a queue of this instance; undefined if it has none of that id. */
	readonly queueSnapshot: (queueId: string, priority: number) => QueueSnapshot | undefined;
	readonly viewAgeMs: () => number;
};

/** Answers where a request would go, from the same state as the dispatcher. */
export class RequestExplainer {
	private readonly options: RequestExplainerOptions;

	constructor(options: RequestExplainerOptions) {
		this.options = options;
	}

	/** Explains a request. Sends and changes nothing. */
	explain(query: ExplainQuery): Explanation {
		const {self, view, viewAgeMs} = this.options;
		const cutOff = [...view.cutOffInstances];
		const known = {
			instance: self.name, configVersion: view.configVersion, viewAgeMs: Math.round(viewAgeMs()), ...(cutOff.length > 0 && {cutOff}),
		};
		if (view.configVersion === undefined) {
			return {...known, services: [], refusal: {error: ErrorKind.NotReady, reason: 'no configuration yet'}};
		}

		const route = view.routes.match(query.host, query.path);
		if (route === undefined) {
			return {...known, services: [], refusal: {error: ErrorKind.NoRoute, reason: `no route for host ${query.host} and this path`}};
		}

		const team = query.team === undefined ? undefined : view.store.get<Team>(`team/${query.team}`);
		const priority = priorityOf(route, team);
		return {
			...known,
			route: route.name,
			priority,
			isIdempotent: route.repeat === Repeat.Idempotent,
			services: this.explainServices(route, query, priority),
		};
	}

	private explainServices(route: HostRoute, query: ExplainQuery, priority: number): ExplainedService[] {
		return route.services.map(({service, weight}) => {
			const isSharded = this.options.view.allServices.get(service)?.isSharded ?? false;
			return {service, weight, ...(isSharded ? this.explainKeyed(service, query.key, priority) : this.explainShared(service, priority))};
		});
	}

	private explainKeyed(service: string, key: number | undefined, priority: number): Omit<ExplainedService, 'service' | 'weight'> {
		const {view} = this.options;
		if (key === undefined) {
			return {queues: [], refusal: {error: ErrorKind.BadRequest, reason: 'no key for a sharded service'}};
		}

		const found = view.findRange(service, key);
		if (found === undefined) {
			return {queues: [], refusal: {error: ErrorKind.NoOwner, reason: 'no owners known'}};
		}

		const {from, to, owner, isOpen} = found;
		const range = {
			from, to, owner, isOpen,
		};
		const target = view.targets.get(owner);
		if (!isOpen || target === undefined || !view.isUsable(target)) {
			const reason = isOpen ? `the owner ${owner} may receive no work` : 'the owner has not confirmed its grant, or the former one may still hold the keys';
			return {range, queues: [], refusal: {error: ErrorKind.NoOwner, reason}};
		}

		return {range, queues: [this.explainQueue(targetQueueId(owner), {domain: target.domain, targets: [owner], priority})]};
	}

	private explainShared(service: string, priority: number): Omit<ExplainedService, 'service' | 'weight'> {
		const {view, self} = this.options;
		const byDomain = new Map<string, string[]>();
		for (const {id, domain} of view.usableTargets(service)) {
			byDomain.set(domain, [...(byDomain.get(domain) ?? []), id]);
		}

		if (byDomain.size === 0) {
			return {queues: [], refusal: {error: ErrorKind.NoTarget, reason: `no target of ${service} may receive work`}};
		}

		const queues = [...byDomain].map(([domain, targets]) => this.explainQueue(sharedQueueId(service, domain), {domain, targets, priority}));
		// The own domain is tried first.
		return {queues: queues.toSorted((a, b) => Number(b.domain === self.domain) - Number(a.domain === self.domain))};
	}

	private explainQueue(queueId: string, {domain, targets, priority}: {domain: string; targets: readonly string[]; priority: number}): ExplainedQueue {
		const {view, self, queueSnapshot} = this.options;
		const steward = view.findSteward(queueId);
		const isOwn = steward === self.name;
		const around = this.findWayAround(steward);
		const usualPath = this.isReachable(steward) ? QueuePath.Forwarded : QueuePath.WithoutSteward;
		const directPath = isOwn ? QueuePath.Own : usualPath;
		return {
			queue: queueId,
			domain,
			targets,
			steward,
			via: around === undefined ? directPath : QueuePath.Around,
			...(around !== undefined && {around}),
			state: isOwn ? queueSnapshot(queueId, priority) : undefined,
		};
	}

	/** Returns the way around if the instance that would send the request is cut off and another one is not. */
	private findWayAround(steward: string | undefined): WayAround | undefined {
		const {view, self, isReleased} = this.options;
		const isRemote = steward !== undefined && steward !== self.name && this.isReachable(steward);
		if (isRemote && !view.isCutOff(steward)) {
			return undefined;
		}

		const cutOff = isRemote ? steward : self.name;
		if (isReleased()) {
			const instances = findSubstitutes(this.options).map(({name}) => name);
			return instances.length === 0 ? undefined : {cutOff, instances};
		}

		// A steward that is cut off gives requests back only if an instance is left that is not.
		return isRemote && !view.isCutOff(self.name) ? {cutOff, instances: [self.name]} : undefined;
	}

	/** Returns whether an instance is known and not found unreachable. */
	private isReachable(instance: string | undefined): boolean {
		const {view, net} = this.options;
		const node = instance === undefined ? undefined : view.store.get<NodeInfo>(`node/${instance}`);
		return node !== undefined && !net.isUnreachable(node.addr);
	}
}
