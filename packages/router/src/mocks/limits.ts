import type {LimitSettings} from '../settings/index.js';

/** Generous limits for tests. */
export const testLimits: LimitSettings = {
	body: 65_536,
	held: 100_663_296,
	callers: 3000,
	headers: 16_384,
	queue: 100,
	headersTimeout: 5000,
	bodyTimeout: 5000,
	idleTimeout: 5000,
	connections: 4,
};

/** Loopback address that takes any free port. */
export const ephemeralAddress = {host: '127.0.0.1', port: 0};
