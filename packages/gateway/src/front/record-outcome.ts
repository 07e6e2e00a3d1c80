import type {HostRoute, Team} from '@bluebellyard/core';
import {AnswerFraming} from '@bluebellyard/http-client';
import type {OrderResult} from '../dispatch/index.js';
import type {CallerHeaders} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import {getHttpStatus} from './refusal.js';

/** What became of a caller's request. */
export type Outcome = {
	readonly result: OrderResult;
	readonly route?: HostRoute;
	/** Team of the caller. */
	readonly team?: Team;
	/** Whether the caller had been refused before, as far as the remaining time tells. */
	readonly hasReturned?: boolean;
};

type OutcomeDetails = {
	readonly headers: CallerHeaders;
	/** Time since the request arrived, in milliseconds. */
	readonly tookMs: number;
	/** Version of the configuration of this instance. */
	readonly version: number | undefined;
};

/** Logs and counts the outcome of a request. */
export function recordOutcome(telemetry: Telemetry, {route, team, result, hasReturned}: Outcome, {headers, tookMs, version}: OutcomeDetails): void {
	const {metrics} = telemetry;
	const fields = {
		id: headers.requestId, route: route?.name, key: headers.key, tookMs: Math.round(tookMs), waitMs: Math.round(result.waitMs), target: result.target, version,
		...(team !== undefined && {team: team.name}),
		...(result.noRetry !== undefined && {noRetry: result.noRetry}),
	};
	metrics.latency.observe({route: route?.name ?? 'none'}, tookMs / 1000);
	if (hasReturned === true) {
		metrics.returns.inc({result: describeReturn(result)});
	}

	if (result.kind === 'answer') {
		const {status, body, framing} = result.answer;
		metrics.requests.inc({result: `${Math.floor(status / 100)}xx`});
		metrics.answers.inc({framing: framing ?? 'unknown'});
		const answered = {
			...fields, status, bytes: body.length, framing,
		};
		if (status >= 400) {
			telemetry.logRequest('Target answered with an error.', answered);
		} else if (framing === AnswerFraming.Close) {
			// Nothing but the end of its connection tells where the answer ends.
			telemetry.logRequest('Target answered without a length.', answered);
		} else {
			telemetry.logSuccess(answered);
		}

		return;
	}

	metrics.requests.inc({result: result.error});
	telemetry.logRequest(result.isNotRun ? 'Request refused.' : 'Request failed with unknown outcome.', {
		...fields, status: getHttpStatus(result), error: result.error, isNotRun: result.isNotRun, reason: result.reason, retryAfterMs: Math.round(result.retryAfterMs),
		...(result.isReserved !== undefined && {isReserved: result.isReserved}),
	});
}

/** Returns the label of the result of a request whose caller had been refused before. */
function describeReturn(result: OrderResult): string {
	if (result.kind === 'answer') {
		return 'answered';
	}

	return result.isNotRun ? 'refused' : 'failed';
}
