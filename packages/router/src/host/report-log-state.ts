import type {LogFollower} from '@bluebellyard/coordination';
import {createLogger} from '../logging/index.js';

const logger = createLogger('log');

/** Logs when the reads of a follower begin to fail, and when the end of the log is reached again. */
export function reportLogState(follower: Pick<LogFollower<unknown>, 'onFailure' | 'onTail' | 'offset'>): void {
	let isFailing = false;
	follower.onFailure(err => {
		if (!isFailing) {
			logger.warn('Reading the log fails.', {folded: follower.offset, err});
		}

		isFailing = true;
	});
	follower.onTail(() => {
		if (isFailing) {
			logger.info('The log is read again.', {folded: follower.offset});
		}

		isFailing = false;
	});
}
