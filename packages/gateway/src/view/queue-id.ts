const targetQueuePrefix = 'target:';

/** Returns the id of the dispatch queue of a keyed target; one instance, its steward, sends the target work. */
export function targetQueueId(target: string): string {
	return `${targetQueuePrefix}${target}`;
}

/** Returns whether a dispatch queue is that of one target of a sharded service. */
export function isTargetQueue(id: string): boolean {
	return id.startsWith(targetQueuePrefix);
}

/** Returns the id of the dispatch queue of a service that is not sharded, in one failure domain. */
export function sharedQueueId(service: string, domain: string): string {
	return `shared:${service}@${domain}`;
}
