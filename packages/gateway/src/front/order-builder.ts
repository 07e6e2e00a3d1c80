import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	priorityOf, Repeat, RequestAgeEstimator, RunMode, WeightedRoundRobin, type HostRoute,
} from '@bluebellyard/core';
import type {Order} from '../dispatch/index.js';
import type {CallerHeaders} from '../ports/index.js';
import type {AdmittedRequest} from '../teams/index.js';
import type {CallerServerOptions} from './caller-server.js';
import type {OpenRequest} from './open-requests.js';

/** A request that may run, before its body is read. */
export type AcceptedRequest = {
	readonly headers: CallerHeaders;
	readonly route: HostRoute;
	readonly admitted: AdmittedRequest;
	readonly open: OpenRequest;
};

/** Makes orders of callers' requests. */
export class OrderBuilder {
	private readonly options: Pick<CallerServerOptions, 'onKeyedRequest' | 'stop' | 'view' | 'wire'>;
	private readonly splits = new Map<string, WeightedRoundRobin>();
	private readonly ages = new RequestAgeEstimator();

	constructor(options: Pick<CallerServerOptions, 'onKeyedRequest' | 'stop' | 'view' | 'wire'>) {
		this.options = options;
	}

	/** Returns the order for a request whose body was read. */
	build(req: IncomingMessage, {
		headers, route, admitted, open: {arrivedAt}, body,
	}: AcceptedRequest & {readonly body: Buffer}): Order {
		const {view, wire, stop} = this.options;
		const {team} = admitted;
		const pairs = toPairs(req.rawHeaders);
		// The configuration may have changed while the body was read.
		const hasTeams = admitted.hasTeams || view.hasTeams;
		const service = this.getSplit(route.name).next(route.services);
		const deadline = arrivedAt + toTimeout(route, headers);
		const ageMs = headers.callerTimeoutMs === undefined ? 0 : this.ages.estimate(route.name, headers.callerTimeoutMs);
		if (headers.key !== undefined && view.allServices.get(service)?.isSharded === true) {
			this.options.onKeyedRequest(service, headers.key, route);
		}

		return {
			requestId: headers.requestId,
			method: req.method ?? 'GET',
			path: req.url ?? '/',
			headers: hasTeams ? wire.withoutCredentials(pairs) : pairs,
			body,
			route: route.name,
			service,
			key: headers.key,
			priority: priorityOf(route, team),
			team: team?.name,
			isOnce: route.repeat === Repeat.Once,
			objectiveMs: route.objectiveMs,
			arrivedAt,
			objectiveAt: arrivedAt + route.objectiveMs - ageMs,
			deadline: stop?.limitDeadline(deadline) ?? deadline,
			excluded: [],
			skipsRateLimited: false,
			mode: RunMode.Usual,
			isRetry: headers.callerTimeoutMs !== undefined && this.ages.isRetry(route.name, headers.callerTimeoutMs),
		};
	}

	private getSplit(route: string): WeightedRoundRobin {
		const split = this.splits.get(route) ?? new WeightedRoundRobin();
		this.splits.set(route, split);
		return split;
	}
}

/** Returns the time for which a request may take, in milliseconds. */
export function toTimeout({timeoutMs}: HostRoute, {callerTimeoutMs}: CallerHeaders): number {
	return Math.min(callerTimeoutMs ?? timeoutMs, timeoutMs);
}

function toPairs(raw: readonly string[]): Array<readonly [string, string]> {
	const pairs: Array<readonly [string, string]> = [];
	for (let i = 0; i + 1 < raw.length; i += 2) {
		pairs.push([raw[i], raw[i + 1]]);
	}

	return pairs;
}
