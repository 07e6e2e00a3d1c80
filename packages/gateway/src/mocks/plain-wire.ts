import {
	Wire, type CallerHeaders, type HeaderList, type TargetHeaders,
} from '../ports/index.js';

/** Wire protocol of callers that send the header `id` and wait for 2 s. */
export class PlainWire extends Wire {
	override readCaller(headers: Record<string, string | string[] | undefined>): CallerHeaders {
		return {requestId: String(headers.id), callerTimeoutMs: 2000, key: undefined};
	}

	override readTarget(): TargetHeaders {
		throw new Error('not used');
	}

	override toTarget(): Record<string, string> {
		return {};
	}

	override toCaller(headers: HeaderList): HeaderList {
		return headers;
	}
}
