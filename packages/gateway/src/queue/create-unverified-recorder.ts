import type {Telemetry} from '../telemetry/index.js';
import type {ExchangeOptions} from './exchange.js';

/** Returns a function that logs and counts what arrived of a target and is not proved to be a whole answer. */
export function createUnverifiedRecorder(telemetry: Telemetry): NonNullable<ExchangeOptions['onUnverified']> {
	return ({requestId, target}, {reason, message}) => {
		telemetry.metrics.unverifiedAnswers.inc({reason});
		telemetry.logRequest('A target\'s answer is not proved to be whole.', {
			id: requestId, target, unverified: reason, reason: message,
		});
	};
}
