/**
 * Teams: groups of callers that share keys, a priority and a limit.
 */
import * as crypto from 'node:crypto';

/** Length of a digest, in characters of base64url: 132 bits, so that two keys never share one. */
const digestLength = 22;

/** A team of callers as operators configure it. */
export type Team = {
	readonly name: string;
	/** Priority of its requests, 0 is the most urgent; undefined if that of the route applies. */
	readonly priority?: number;
	/** Requests per second over all instances together; undefined for no limit. */
	readonly ratePerSecond?: number;
	/** Requests that may run in addition, over all instances together. */
	readonly burst: number;
};

/** Returns the digest by which a key is known to the instances. Keys themselves never leave the process that received them. */
export function digestKey(key: string): string {
	return sha256(key).slice(0, digestLength);
}

/** Returns the hash as base64url. Without `crypto.hash`, which Node.js has from 20.12 on, 100,000 hash objects cost pauses of 60 ms for garbage collection. */
function sha256(text: string): string {
	return typeof crypto.hash === 'function' ? crypto.hash('sha256', text, 'base64url') : crypto.createHash('sha256').update(text).digest('base64url');
}

/** Returns the priority of a request. That of its team takes precedence over that of its route. */
export function priorityOf(route: {readonly priority: number}, team: Team | undefined): number {
	return team?.priority ?? route.priority;
}
