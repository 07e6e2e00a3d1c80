import type {LimitSettings} from '../settings/index.js';

/** Wide bounds for tests. */
export const testLimits: LimitSettings = {
	body: 65_536,
	headers: 16_384,
	queue: 100,
	headersTimeout: 5000,
	bodyTimeout: 5000,
	idleTimeout: 5000,
	connections: 4,
};

/** A free port of loopback. */
export const ephemeralAddress = {host: '127.0.0.1', port: 0};
