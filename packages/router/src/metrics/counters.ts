/**
 * What the router counts. Values change in memory only; no call blocks or throws.
 */
import type {ErrorKind, RetryReason} from '@bluebellyard/core';

/** Events that are counted beside refusals and retries. */
export enum Counter {
	/** Requests taken from callers. */
	Requests = 'requests',
	/** Requests answered with the whole answer of a target. */
	Answers = 'answers',
	/** Requests sent on to the steward of their target. */
	Forwards = 'forwards',
	/** Requests whose answer was taken from the memory of request ids. */
	Replays = 'replays',
	/** Log records that were malformed or foreign. */
	BadRecords = 'log.bad-records',
	/** Log records that lost against a record before them. */
	VoidRecords = 'log.void-records',
	/** Failed requests to the log service. */
	LogErrors = 'log.errors',
	/** Configurations that came into force. */
	Configurations = 'configurations',
	/** Shards whose owner changed. */
	Moves = 'moves',
	/** Targets whose lease ran out. */
	LostTargets = 'targets.lost',
	/** Targets that came back with a new incarnation. */
	ColdTargets = 'targets.cold',
	/** Instances that were evicted. */
	Evictions = 'evictions',
}

/** Values that go up and down. */
export enum Gauge {
	/** Offset up to which the log is folded. */
	FoldedOffset = 'log.folded-offset',
	/** Offset of the configuration in force. */
	ConfigOffset = 'config.offset',
	/** Age of the last successful read of the log, in milliseconds. */
	LogAge = 'log.age-ms',
	/** Targets that this instance is the steward of. */
	Stewardships = 'stewardships',
	/** Shards without an owner. */
	UnownedShards = 'shards.unowned',
	/** Requests in flight at targets. */
	InFlight = 'requests.in-flight',
	/** Requests that wait in queues. */
	Queued = 'requests.queued',
	/** 1 while the instance is ready for callers, else 0. */
	Ready = 'ready',
	/** Time until the right of the instance runs out, in milliseconds. */
	RightLeft = 'right.left-ms',
}

/** Name of the counter of a refusal. */
export function refusalCounterName(kind: ErrorKind): string {
	return `refused.${kind}`;
}

/** Name of the counter of a retry. */
export function retryCounterName(reason: RetryReason): string {
	return `retried.${reason}`;
}

/** Counters and gauges of one process. */
export abstract class Counters {
	/** Counts a request that did not get its target's answer. */
	countRefusal(kind: ErrorKind): void {
		this.add(refusalCounterName(kind), 1);
	}

	/** Counts one more attempt for a request. */
	countRetry(reason: RetryReason): void {
		this.add(retryCounterName(reason), 1);
	}

	/** Counts events. */
	count(counter: Counter, events = 1): void {
		this.add(counter, events);
	}

	/** Sets a gauge. */
	setGauge(gauge: Gauge, value: number): void {
		this.set(gauge, value);
	}

	/** Sends what is left and frees the socket. */
	abstract close(): Promise<void>;

	protected abstract add(name: string, events: number): void;

	protected abstract set(name: string, value: number): void;
}
