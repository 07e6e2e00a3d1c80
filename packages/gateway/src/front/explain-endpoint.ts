import type {ExplainQuery, Explanation} from '../dispatch/index.js';
import type {ProbeAnswer} from './probe-server.js';

/** Path of the endpoint, on the metrics address. */
export const explainPath = '/explain';

const keyPattern = /^\d{1,5}$/v;
const badRequestStatus = 400;

/** Answers `/explain?host=HOST&path=PATH[&key=KEY][&team=TEAM]` with an explanation as JSON; 400 with the reason if a parameter is missing or malformed. */
export function answerExplain(url: URL, explain: (query: ExplainQuery) => Explanation): ProbeAnswer {
	const host = url.searchParams.get('host');
	const path = url.searchParams.get('path');
	const key = url.searchParams.get('key') ?? undefined;
	if (host === null || path?.startsWith('/') !== true) {
		return toAnswer(badRequestStatus, {error: 'host and path are required; the path starts with a slash'});
	}

	if (key !== undefined && !keyPattern.test(key)) {
		return toAnswer(badRequestStatus, {error: 'the key must be a whole number'});
	}

	return toAnswer(200, explain({
		host, path, key: key === undefined ? undefined : Number(key), team: url.searchParams.get('team') ?? undefined,
	}));
}

function toAnswer(status: number, value: unknown): ProbeAnswer {
	return {status, type: 'application/json', body: `${JSON.stringify(value)}\n`};
}
