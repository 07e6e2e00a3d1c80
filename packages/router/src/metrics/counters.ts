/**
 * Counters and gauges of the router. Updates only change memory; no call blocks or throws.
 */
import type {ErrorKind, RetryReason} from '@bluebellyard/core';

/** Counted events other than refusals and retries. */
export enum Counter {
	/** Requests received from callers. */
	Requests = 'requests',
	/** Requests answered with the complete answer of a target. */
	Answers = 'answers',
	/** Requests forwarded to the steward of their target. */
	Forwards = 'forwards',
	/** Requests answered from the table of request ids, without running again. */
	Replays = 'replays',
	/** Log records that were malformed or foreign. */
	BadRecords = 'log.bad-records',
	/** Log records rejected because an earlier record took precedence. */
	VoidRecords = 'log.void-records',
	/** Failed requests to the log service. */
	LogErrors = 'log.errors',
	/** Configurations that came into force. */
	Configurations = 'configurations',
	/** Shards whose owner changed. */
	Moves = 'moves',
	/** Targets whose lease expired. */
	LostTargets = 'targets.lost',
	/** Targets that restarted with a new incarnation. */
	ColdTargets = 'targets.cold',
	/** Instances that were evicted. */
	Evictions = 'evictions',
}

/** Values that rise and fall. */
export enum Gauge {
	/** Offset up to which the log is folded. */
	FoldedOffset = 'log.folded-offset',
	/** Offset of the configuration in force. */
	ConfigOffset = 'config.offset',
	/** Age of the last successful read of the log, in milliseconds. */
	LogAge = 'log.age-ms',
	/** Targets of which this instance is the steward. */
	Stewardships = 'stewardships',
	/** Shards without an owner. */
	UnownedShards = 'shards.unowned',
	/** Requests in flight at targets. */
	InFlight = 'requests.in-flight',
	/** Requests waiting in queues. */
	Queued = 'requests.queued',
	/** 1 while the instance is ready for callers, else 0. */
	Ready = 'ready',
	/** Time until the right of the instance expires, in milliseconds. */
	RightLeft = 'right.left-ms',
}

/** Returns the name of the counter of a refusal. */
export function refusalCounterName(kind: ErrorKind): string {
	return `refused.${kind}`;
}

/** Returns the name of the counter of a retry. */
export function retryCounterName(reason: RetryReason): string {
	return `retried.${reason}`;
}

/** Counters and gauges of one process. */
export abstract class Counters {
	/** Counts a request that was not answered by its target. */
	countRefusal(kind: ErrorKind): void {
		this.add(refusalCounterName(kind), 1);
	}

	/** Counts a further attempt of a request. */
	countRetry(reason: RetryReason): void {
		this.add(retryCounterName(reason), 1);
	}

	count(counter: Counter, events = 1): void {
		this.add(counter, events);
	}

	setGauge(gauge: Gauge, value: number): void {
		this.set(gauge, value);
	}

	/** Sends the buffered values and closes the socket. */
	abstract close(): Promise<void>;

	protected abstract add(name: string, events: number): void;

	protected abstract set(name: string, value: number): void;
}
