import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {BodyBuffer} from '@bluebellyard/core';

/** An answer that ends with its connection, and the requests that the other side may have answered on that connection. */
export type CloseDelimitedAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	/** Header by which answers name the request, in lower case. */
	readonly idHeader: string;
	readonly requestIds: ReadonlySet<string>;
};

/** Longest line that counts as one of a head, in bytes; parsers accept no larger heads. */
const maxLineBytes = 65_536;

const startOfHead = 'HTTP/1.';

/** Length of the start of a status line up to the status. */
const statusLineChars = 'HTTP/1.1 200'.length;

const digit = {zero: 0x30, one: 0x31, nine: 0x39};
const space = 0x20;

/** Space, carriage return and line feed. */
const endsOfStatus = new Set([space, 0x0D, 0x0A]);

const headerNamePattern = /^(?:[\w!#$%'*+.^`\|~\-]|&)+$/v;

/** Headers that may differ between two copies of an answer. */
const variableHeaders = new Set(['content-length', 'transfer-encoding', 'connection', 'keep-alive', 'date']);

type HeaderLine = readonly [name: string, value: string];

/** What follows in the body. */
enum Part {
	/** Anything; the next status line may be anywhere in it. */
	Text = 'text',
	/** The rest of a status line. */
	StatusLine = 'status-line',
	/** A header line, or the empty line at the end of a head. */
	HeaderLine = 'header-line',
}

/**
 * Searches the body of an answer that ends with its connection for a later answer on the connection: a head that names a
 * request of the connection, or one that is the same as the head of the answer itself, also if it is cut. HTTP that a body
 * quotes names other requests, or none.
 *
 * The body is searched while it arrives: its sender chooses the size and the bytes, and searching all of it at once would
 * delay all other requests. The time is proportional to the bytes, whatever they are; of the body only an unfinished line
 * of a head is kept.
 */
export class LaterAnswerSearch {
	private part = Part.Text;
	private isFound = false;
	/** Characters before the next ones that may begin a status line, if it is not in a head. */
	private partialStart = '';
	/** Unfinished line of a head. */
	private readonly line = new BodyBuffer();
	private head = new EmbeddedHead();
	private ownLines: ReadonlySet<string> | undefined;

	constructor(private readonly answer: CloseDelimitedAnswer) {
		// The lines of the answer are listed when they are needed; most bodies contain no status line.
	}

	/** Number of bytes of the body that are kept for the search. */
	get heldBytes(): number {
		return this.line.length;
	}

	/** Searches the next bytes of the body. */
	append(chunk: Buffer): void {
		let text = this.partialStart + chunk.toString('latin1');
		let position = 0;
		this.partialStart = '';
		while (!this.isFound && position < text.length) {
			switch (this.part) {
				case Part.Text: {
					position = this.readText(text, position);
					break;
				}

				case Part.StatusLine: {
					position = this.readStatusLine(text, position);
					break;
				}

				case Part.HeaderLine: {
					[text, position] = this.readHeaderLine(text, position);
					break;
				}
			}
		}
	}

	/** Ends the search; returns whether a later answer may be among the bytes. */
	finish(): boolean {
		return this.isFound || (this.part === Part.HeaderLine && this.head.mayBeCut(this.takeLine(), this.answer));
	}

	/** Reads up to a status line; returns the position after its status, or the end of the text. */
	private readText(text: string, position: number): number {
		const start = findStatusLine(text, position, text.length);
		if (start === -1) {
			this.keepPartialStart(text, position);
			return text.length;
		}

		this.part = Part.StatusLine;
		this.head = new EmbeddedHead();
		return this.recordStatus(text, start);
	}

	/** Reads up to the end of a status line; returns the position after it, or the end of the text. Any status in it may be the one of the head. */
	private readStatusLine(text: string, position: number): number {
		const lineEnd = text.indexOf('\n', position);
		const end = lineEnd === -1 ? text.length : lineEnd;
		let read = position;
		for (let start = findStatusLine(text, read, end); start !== -1; start = findStatusLine(text, read, end)) {
			read = this.recordStatus(text, start);
		}

		if (lineEnd === -1) {
			this.keepPartialStart(text, read);
			return text.length;
		}

		this.part = Part.HeaderLine;
		return lineEnd + 1;
	}

	/** Reads a line of a head; returns the text that remains to be read, and the position in it. A line that is no header is read again as text. */
	private readHeaderLine(text: string, position: number): [text: string, position: number] {
		const lineEnd = text.indexOf('\n', position);
		const end = lineEnd === -1 ? text.length : lineEnd;
		const isTooLong = this.line.length + end - position > maxLineBytes;
		if (lineEnd === -1 && !isTooLong) {
			this.line.append(Buffer.from(text.slice(position), 'latin1'));
			return [text, text.length];
		}

		const former = this.takeLine();
		const line = isTooLong ? undefined : former + text.slice(position, end);
		if (line !== undefined && this.recordLine(line.endsWith('\r') ? line.slice(0, -1) : line)) {
			return [text, end + 1];
		}

		this.isFound = isTooLong && this.head.namesRequest;
		this.part = Part.Text;
		return former === '' ? [text, position] : [former + text.slice(position), 0];
	}

	/** Records a line of the head; returns whether it is one. */
	private recordLine(line: string): boolean {
		if (line === '') {
			this.isFound = this.head.isAnswer(this.listOwnLines());
			this.part = Part.Text;
			return true;
		}

		const header = parseHeader(line);
		if (header !== undefined) {
			this.head.recordHeader(header, this.answer, this.listOwnLines());
		}

		return header !== undefined;
	}

	/** Records the status of a status line that begins at a position; returns the position after it. */
	private recordStatus(text: string, start: number): number {
		const end = start + statusLineChars;
		this.head.hasOwnStatus ||= Number(text.slice(end - 3, end)) === this.answer.status;
		return end;
	}

	private keepPartialStart(text: string, position: number): void {
		this.partialStart = text.slice(Math.max(position, text.length - statusLineChars));
	}

	/** Returns the unfinished line, and keeps it no longer. */
	private takeLine(): string {
		if (this.line.length === 0) {
			return '';
		}

		const line = this.line.toBytes().toString('latin1');
		this.line.clear();
		return line;
	}

	private listOwnLines(): ReadonlySet<string> {
		this.ownLines ??= new Set(listLines(this.answer).filter(line => isFixed(line)).map(line => formatLine(line)));
		return this.ownLines;
	}
}

/** What is known of a head within a body. Takes no more memory than the head of the answer itself, however long it is. */
class EmbeddedHead {
	/** Whether its status is that of the answer. */
	hasOwnStatus = false;
	/** Whether it names a request of the connection. */
	namesRequest = false;
	private namesAny = false;
	private hasForeignLine = false;
	private sameLines: Set<string> | undefined;

	recordHeader(header: HeaderLine, {idHeader, requestIds}: CloseDelimitedAnswer, ownLines: ReadonlySet<string>): void {
		const [name, value] = header;
		if (name === idHeader) {
			this.namesAny = true;
			this.namesRequest ||= requestIds.has(value);
		}

		if (!isFixed(header)) {
			return;
		}

		const line = formatLine(header);
		if (ownLines.has(line)) {
			this.sameLines ??= new Set();
			this.sameLines.add(line);
		} else {
			this.hasForeignLine = true;
		}
	}

	/** Returns whether the head, which is complete, may be that of an answer to a request of the connection. */
	isAnswer(ownLines: ReadonlySet<string>): boolean {
		return this.namesAny ? this.namesRequest : this.hasOwnStatus && !this.hasForeignLine && (this.sameLines?.size ?? 0) === ownLines.size;
	}

	/** Returns whether the head, which ends with a part of a line, may be the start of such a head. */
	mayBeCut(cutLine: string, answer: CloseDelimitedAnswer): boolean {
		if (this.namesAny) {
			return this.namesRequest;
		}

		if (!this.hasOwnStatus || this.hasForeignLine) {
			return false;
		}

		if (cutLine === '') {
			return this.sameLines !== undefined;
		}

		const [name, value] = parseHeader(cutLine) ?? [cutLine.trim().toLowerCase(), undefined];
		if (name === answer.idHeader && value !== undefined) {
			return [...answer.requestIds].some(id => id.startsWith(value));
		}

		return name !== '' && listLines(answer).some(line => value === undefined ? line[0].startsWith(name) : line[0] === name && line[1].startsWith(value));
	}
}

/** Returns where the next status line with a whole status begins between two positions; -1 if none does. */
function findStatusLine(text: string, from: number, to: number): number {
	let start = text.indexOf(startOfHead, from);
	while (start !== -1 && start < to) {
		if (isStatusLine(text, start + startOfHead.length)) {
			return start;
		}

		start = text.indexOf(startOfHead, start + startOfHead.length);
	}

	return -1;
}

/** Returns whether a minor version, a status and the end of the status are at a position. */
function isStatusLine(text: string, position: number): boolean {
	const minorVersion = text.codePointAt(position);
	return (minorVersion === digit.zero || minorVersion === digit.one)
		&& text.codePointAt(position + 1) === space
		&& isDigit(text.codePointAt(position + 2))
		&& isDigit(text.codePointAt(position + 3))
		&& isDigit(text.codePointAt(position + 4))
		&& endsOfStatus.has(text.codePointAt(position + 5) ?? 0);
}

function isDigit(code = 0): boolean {
	return code >= digit.zero && code <= digit.nine;
}

function parseHeader(text: string): HeaderLine | undefined {
	const colon = text.indexOf(':');
	const name = text.slice(0, Math.max(colon, 0));
	return headerNamePattern.test(name) ? [name.toLowerCase(), text.slice(colon + 1).trim()] : undefined;
}

/** Returns the header lines of an answer; all of its values of one name are separate lines. */
function listLines({headers}: CloseDelimitedAnswer): HeaderLine[] {
	return Object.entries(headers).flatMap(([name, value]) => [value ?? []].flat().map((item): HeaderLine => [name, item.trim()]));
}

function formatLine([name, value]: HeaderLine): string {
	return `${name}:${value}`;
}

function isFixed([name]: HeaderLine): boolean {
	return !variableHeaders.has(name);
}
