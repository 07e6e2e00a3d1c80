import type {IncomingHttpHeaders} from 'node:http';

/** How an answer states where its body ends (RFC 9112, section 6.3). */
export enum AnswerFraming {
	/** Its method or status permits no body. */
	NoBody = 'no-body',
	/** By the length of its body. */
	Length = 'length',
	/** By its last chunk. */
	Chunks = 'chunks',
	/** Not at all: its body ends with the connection. */
	Close = 'close',
	/** In a way that is not supported: a transfer coding that is not decoded here, or a length beside a transfer coding. */
	Unsupported = 'unsupported',
}

/** How an answer states its end. */
export type StatedEnd = {
	readonly framing: AnswerFraming;
	/** Length of the body in bytes; set for `AnswerFraming.Length`. */
	readonly length?: number;
};

/** Statuses of answers without a body. */
const bodylessStatuses = new Set([204, 304]);

/** Returns how the answer to a request with the given method states its end. */
export function findFraming(method: string, status: number, headers: IncomingHttpHeaders): StatedEnd {
	if (method === 'HEAD' || bodylessStatuses.has(status)) {
		return {framing: AnswerFraming.NoBody};
	}

	const {'content-length': length, 'transfer-encoding': encoding} = headers;
	if (encoding !== undefined) {
		return {framing: length === undefined ? findCodedFraming(encoding) : AnswerFraming.Unsupported};
	}

	if (length === undefined) {
		return {framing: AnswerFraming.Close};
	}

	return /^\d{1,15}$/v.test(length) ? {framing: AnswerFraming.Length, length: Number(length)} : {framing: AnswerFraming.Unsupported};
}

/** Returns the framing of an answer with transfer codings. The coding `identity` changes nothing, also not the end. */
function findCodedFraming(encoding: string | readonly string[]): AnswerFraming {
	const codings = String(encoding).split(',').map(coding => coding.trim().toLowerCase());
	const effective = codings.filter(coding => coding !== 'identity');
	if (effective.length === 0) {
		return AnswerFraming.Close;
	}

	return effective.length === 1 && codings.at(-1) === 'chunked' ? AnswerFraming.Chunks : AnswerFraming.Unsupported;
}
