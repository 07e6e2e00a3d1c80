import type {ServerResponse} from 'node:http';
import {answerTable, ErrorKind} from '@bluebellyard/core';
import type {FailedResult} from '../dispatch/index.js';

/** Status which states that a request has not run and never will. */
const notRunStatus = 503;

/** Status for an unknown outcome. */
const unknownStatus = 502;

const msPerSecond = 1000;

/** Returns the status of a failure. Only a request that certainly has not run gets a status which states so. */
export function getHttpStatus({error, isNotRun}: Pick<FailedResult, 'error' | 'isNotRun'>): number {
	const {status} = answerTable[error];
	if (isNotRun) {
		return status >= 500 ? notRunStatus : status;
	}

	return status === 504 ? status : unknownStatus;
}

/** Answers a request that no target answered, or closes the connection if the caller left or the headers were sent. */
export function sendFailure(res: ServerResponse, result: Pick<FailedResult, 'error' | 'isNotRun' | 'retryAfterMs'>): void {
	if (result.error === ErrorKind.CallerDisconnected || result.error === ErrorKind.CallerDisconnectedBeforeSend || res.headersSent) {
		res.destroy();
		return;
	}

	const status = getHttpStatus(result);
	const body = JSON.stringify({error: result.error, message: answerTable[result.error].text});
	const headers: Record<string, string | number> = {'content-type': 'application/json', 'content-length': body.length};
	if (status === notRunStatus || status === 429) {
		headers['retry-after'] = (Math.max(50, result.retryAfterMs) / msPerSecond).toFixed(2);
	}

	res.writeHead(status, headers);
	res.end(body);
}
