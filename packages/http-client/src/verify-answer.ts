/**
 * What proves that an answer is whole. Every answer that another process sends over HTTP passes `verifyAnswer` before its
 * bytes are used; one that fails is no answer.
 *
 * | The answer states its end by | Proof | Passed on |
 * | --- | --- | --- |
 * | its method or status | its head; it has no body | without a body |
 * | a length | exactly as many bytes | with its length |
 * | chunks | the last chunk, before any end of the connection | with its length |
 * | nothing, it ends with the connection | an orderly end by the other side, with no later answer on the connection among the bytes, and the other side does not refuse another connection afterwards | with its length, as its receiver could not tell the end of this process from that of the answer |
 * | anything else | none | not |
 *
 * Whatever states its end, an answer with a status below 100 is none; the parser accepts such statuses.
 *
 * An end of the connection by this side proves nothing. An orderly end proves less than a length: a process that is
 * killed ends its connections so, too, which is why the other side is asked whether it still accepts connections.
 */
import {AnswerFraming, type StatedEnd} from './answer-framing.js';
import {ConnectionEnd, type ConnectionState} from './connection-state.js';

/** Why an answer counts as none. */
export enum UnverifiedReason {
	/** Its status is none: below 100. */
	InvalidStatus = 'invalid-status',
	/** Its end is not stated, or not in a supported way. */
	UnsupportedFraming = 'unsupported-framing',
	/** Its body has another length than it states. */
	WrongLength = 'wrong-length',
	/** The connection was reset, or ended by this side, before its end. */
	ConnectionLost = 'connection-lost',
	/** A later answer on the connection may be among its bytes. */
	LaterAnswer = 'later-answer',
	/** It ended with the connection, and the other side may have ended itself. */
	SenderGone = 'sender-gone',
	/** Its head may consist of parts of two. */
	JoinedHeads = 'joined-heads',
	/** It did not come; more interim responses came than an answer may have before it. */
	InterimResponses = 'interim-responses',
}

/** Status of answers that may state no length. */
const noContentStatus = 204;

/** An answer as it was received, up to what looks like its end. */
export type ReceivedAnswer = StatedEnd & {
	/** Number of bytes of its body. */
	readonly bytes: number;
	/** The connection on which it arrived; undefined if it was not observed. */
	readonly connection: ConnectionState | undefined;
	/** Whether a later answer on the connection may be among the bytes. */
	readonly hasLaterAnswer: boolean;
	/** Whether the other side may end answers with the connection. */
	readonly mayEndWithConnection: boolean;
};

/** Returns why an answer is not proved to be whole; undefined if it is, but for the check that `needsLiveSender` asks for. */
export function verifyAnswer(answer: ReceivedAnswer): UnverifiedReason | undefined {
	const {framing, length, bytes, connection} = answer;
	switch (framing) {
		case AnswerFraming.NoBody: {
			return undefined;
		}

		case AnswerFraming.Length: {
			return bytes === length ? undefined : UnverifiedReason.WrongLength;
		}

		case AnswerFraming.Chunks: {
			// The parser reports the end at the last chunk; if the connection has ended, it may report that end instead.
			return connection === undefined || connection.end === ConnectionEnd.None ? undefined : UnverifiedReason.ConnectionLost;
		}

		case AnswerFraming.Close: {
			return verifyCloseDelimited(answer);
		}

		case AnswerFraming.Unsupported: {
			return UnverifiedReason.UnsupportedFraming;
		}
	}
}

function verifyCloseDelimited({connection, hasLaterAnswer, mayEndWithConnection}: ReceivedAnswer): UnverifiedReason | undefined {
	if (!mayEndWithConnection) {
		return UnverifiedReason.UnsupportedFraming;
	}

	if (connection?.end !== ConnectionEnd.Orderly) {
		return UnverifiedReason.ConnectionLost;
	}

	return hasLaterAnswer ? UnverifiedReason.LaterAnswer : undefined;
}

/** Returns whether an answer that passed `verifyAnswer` is whole only if the other side has not ended itself. */
export function needsLiveSender(framing: AnswerFraming): boolean {
	return framing === AnswerFraming.Close;
}

/** A whole answer as far as the length that is passed on depends on it. */
export type EndedAnswer = {
	readonly status: number;
	readonly framing: AnswerFraming;
	/** Length of its body. */
	readonly bytes: number;
	/** Value of its own `Content-Length`; undefined without one. */
	readonly statedLength: string | undefined;
};

/**
 * Returns the `Content-Length` with which a whole answer is passed on; undefined for none. Every answer with a body has
 * one, in any version of HTTP: without it, a receiver takes the end of this process for the end of the answer.
 */
export function findPassedOnLength({status, framing, bytes, statedLength}: EndedAnswer): string | undefined {
	if (framing === AnswerFraming.NoBody) {
		return status === noContentStatus ? undefined : statedLength;
	}

	return String(bytes);
}
