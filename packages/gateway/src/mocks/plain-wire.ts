import type {IncomingHttpHeaders} from 'node:http';
import {
	Wire, type CallerHeaders, type HeaderList, type TargetHeaders,
} from '../ports/index.js';

/** Headers by which callers state a key and a team. */
const credentialNames = new Set(['key', 'team']);

/** Time for which callers wait for an answer, in milliseconds. */
const callerTimeoutMs = 2000;

/** Wire for tests without targets: callers send their id and their key in the headers `id` and `key`. */
export class PlainWire extends Wire {
	override readonly requestIdHeader = 'id';

	override readCaller(headers: IncomingHttpHeaders): CallerHeaders {
		return {
			requestId: String(headers.id), callerTimeoutMs, key: undefined, apiKey: headers.key?.toString(),
		};
	}

	override readTarget(): TargetHeaders {
		throw new Error('not used');
	}

	override withoutCredentials(headers: HeaderList): HeaderList {
		return headers.filter(([name]) => !credentialNames.has(name.toLowerCase()));
	}

	override toChallenge(): HeaderList {
		return [['challenge', 'key']];
	}

	override toTarget(): Record<string, string> {
		return {};
	}

	override toCaller(headers: HeaderList): HeaderList {
		return headers;
	}
}
