/**
 * Reasons for which the router sends a request again; a closed list.
 */
import {ErrorKind} from './error-kind.js';

/** Reason for another attempt. */
export enum RetryReason {
	/** The connection failed before any byte was sent. */
	ConnectFailed = 'connect-failed',
	/** The target refused before running the request. */
	TargetShed = 'target-shed',
	/** The target rejected the fencing token of the order. */
	TargetFenced = 'target-fenced',
	/** Another instance became the steward. */
	StewardChanged = 'steward-changed',
	/** The steward could not be reached. */
	StewardUnreachable = 'steward-unreachable',
	/** The connection broke after an idempotent request was sent. */
	ConnectionLost = 'connection-lost',
	/** The answer to an idempotent request ended early. */
	TruncatedAnswer = 'truncated-answer',
	/** A second attempt was started while a slow first one was still running. */
	Hedge = 'hedge',
}

/** Kind of the error when no further attempt is allowed, by the reason for it. */
export const retryKind: Readonly<Record<RetryReason, ErrorKind>> = {
	[RetryReason.ConnectFailed]: ErrorKind.ConnectFailed,
	[RetryReason.TargetShed]: ErrorKind.TargetShed,
	[RetryReason.TargetFenced]: ErrorKind.TargetFenced,
	[RetryReason.StewardChanged]: ErrorKind.NotSteward,
	[RetryReason.StewardUnreachable]: ErrorKind.StewardUnreachable,
	[RetryReason.ConnectionLost]: ErrorKind.ConnectionLost,
	[RetryReason.TruncatedAnswer]: ErrorKind.TruncatedAnswer,
	[RetryReason.Hedge]: ErrorKind.TargetTimeout,
};
