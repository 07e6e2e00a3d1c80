/** Guards against a second answer that is taken for a part of the body of the first one, against bodies that quote HTTP and count as two answers, and against bodies whose search holds the event loop or the memory. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import * as fc from 'fast-check';
import {LaterAnswerSearch, type CloseDelimitedAnswer} from './later-answer.js';

const answer = {
	status: 200, headers: {'x-id': 'r2', 'x-seal': 'a', date: 'Sun'}, idHeader: 'x-id', requestIds: new Set(['r1', 'r2']),
};
const own = 'HTTP/1.1 200 OK\r\nX-Id: r2\r\nX-Seal: a\r\nDate: Sun\r\n\r\n';

/** Returns whether a later answer is found in a body that arrives in pieces of a size. */
function search(body: Buffer, ofAnswer: CloseDelimitedAnswer = answer, pieceBytes = body.length): boolean {
	const laterAnswerSearch = new LaterAnswerSearch(ofAnswer);
	for (let start = 0; start < body.length; start += pieceBytes) {
		laterAnswerSearch.append(body.subarray(start, start + pieceBytes));
	}

	return laterAnswerSearch.finish();
}

const cases: ReadonlyArray<readonly [name: string, text: string, isFound: boolean]> = [
	['no HTTP', 'text HTTP/1 text', false],
	['the own head', `text${own}text`, true],
	['the own head with line feeds alone', `text${own.replaceAll('\r', '')}text`, true],
	['a head that names the request, with another status', 'textHTTP/1.0 504 Late\r\nx-id: r2\r\n\r\n', true],
	['a head that names a former request', 'textHTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-ID:  r1 \r\n\r\n', true],
	['a head that names another request', 'textHTTP/1.1 200 OK\r\nX-Id: r3\r\n\r\n', false],
	['a head that names no request', 'textHTTP/1.1 200 OK\r\nX-Seal: b\r\n\r\n', false],
	['the head of a request', 'GET / HTTP/1.1\r\nX-Id: r2\r\n\r\n', false],
	['a status line behind a quoted one', 'HTTP/1.1 200 OK\r\nA: HTTP/1.1 200 OK\r\nX-Id: r2\r\n\r\n', true],
	['a head behind one that is none', 'HTTP/1.1 200 OK\r\nno headerHTTP/1.1 200 OK\r\nX-Id: r2\r\n\r\n', true],
	['a head that is none', 'HTTP/1.1 200 OK\r\nX-Id: r2\r\nno header\r\n\r\n', false],
	['a head that is cut behind the id', 'HTTP/1.1 200 OK\r\nX-Id: r2\r\nX-S', true],
	['a head that is cut in the id', 'HTTP/1.1 200 OK\r\nX-Id: r', true],
	['a head that is cut in a name', 'HTTP/1.1 200 OK\r\nX-I', true],
	['a head that is cut behind another id', 'HTTP/1.1 200 OK\r\nX-Id: r3\r\nX-S', false],
	['a head that is cut in another id', 'HTTP/1.1 200 OK\r\nX-Id: q', false],
	['a quoted status line at the end', 'HTTP/1.1 200 OK\r\n', false],
	['another head that is cut', 'HTTP/1.1 200 OK\r\nServer: b\r\nX-I', false],
	['a line of a log', '"GET / HTTP/1.1" 200\nGET / HTTP/1.1 200 12\n', false],
];

for (const [name, text, isFound] of cases) {
	test(`${name}: ${isFound ? 'found' : 'not found'}`, t => {
		const body = Buffer.from(text);
		for (const pieceBytes of [body.length, 1, 2, 7]) {
			t.is(search(body, answer, pieceBytes), isFound, `${pieceBytes}`);
		}
	});
}

test('answers without an id: only the same head is found', t => {
	const unnamed = {...answer, headers: {server: 't', date: 'Sun'}, requestIds: new Set(['r1'])};
	t.true(search(Buffer.from('textHTTP/1.1 200 OK\r\nServer: t\r\nDate: Mon\r\nContent-Length: 4\r\n\r\ntext'), unnamed));
	t.false(search(Buffer.from('textHTTP/1.1 200 OK\r\nServer: u\r\n\r\ntext'), unnamed));
	t.false(search(Buffer.from('textHTTP/1.1 404 No\r\nServer: t\r\n\r\ntext'), unnamed));
	t.false(search(Buffer.from('textHTTP/1.1 200 OK\r\n\r\ntext'), unnamed));
});

test('a second copy is found behind any body, whole or cut behind the first byte of its headers', t => {
	const statusLineBytes = 'HTTP/1.1 200 OK\r\n'.length;
	t.notThrows(() => {
		const bodies = fc.uint8Array({maxLength: 200});
		const cuts = fc.integer({min: statusLineBytes + 1, max: own.length});
		const rests = fc.uint8Array({maxLength: 50});
		const pieceSizes = fc.integer({min: 1, max: 300});
		fc.assert(fc.property(bodies, cuts, rests, pieceSizes, (body, cutAt, rest, pieceBytes) => {
			const isWhole = cutAt === own.length;
			return search(Buffer.concat([body, Buffer.from(own.slice(0, cutAt)), ...(isWhole ? [rest] : [])]), answer, pieceBytes);
		}));
	});
});

const ownStatusLine = 'HTTP/1.1 200 OK\r\n';

// The sender chooses the bytes. Bodies of 20 MB, in pieces as they arrive.
const large: ReadonlyArray<readonly [name: string, piece: string]> = [
	['starts of status lines without an end', 'HTTP/1.'],
	['status lines without an end', 'HTTP/1.1 200 '],
	['status lines in header lines', `A: ${ownStatusLine}`],
	['heads of this answer that name another request', own.replace('r2', 'r3')],
	['heads of this answer that are none', own.replace('\r\n\r\n', '\r\nno header\r\n')],
	['long lines of heads', `${ownStatusLine}${'a'.repeat(65_000)}`],
	['lines of heads that are too long', `${ownStatusLine}${'a'.repeat(70_000)}`],
	['lines of a log', '{"line":"GET /a/b HTTP/1.1","status":200,"bytes":1234567}'],
	['short lines', '\n'],
];

const largeBytes = 20_000_000;
const pieceBytes = 65_536;

for (const [name, piece] of large) {
	test(`a large body of ${name} is searched while it arrives, and little of it is kept`, t => {
		const body = Buffer.from(piece.repeat(Math.ceil(largeBytes / piece.length)));
		const laterAnswerSearch = new LaterAnswerSearch(answer);
		let heldBytes = 0;
		for (let start = 0; start < body.length; start += pieceBytes) {
			laterAnswerSearch.append(body.subarray(start, start + pieceBytes));
			heldBytes = Math.max(heldBytes, laterAnswerSearch.heldBytes);
		}

		t.true(heldBytes <= 65_536, `${heldBytes}`);
		laterAnswerSearch.append(Buffer.from(`\n${own}`));
		t.true(laterAnswerSearch.finish());
		t.false(search(body, answer, pieceBytes));
	});
}

test('an id in a head with a line that is too long is found', t => {
	t.true(search(Buffer.from(`${ownStatusLine}X-Id: r2\r\n${'a'.repeat(70_000)}`)));
	t.false(search(Buffer.from(`${ownStatusLine}X-Id: r3\r\n${'a'.repeat(70_000)}`)));
	t.true(search(Buffer.from(`${ownStatusLine}${'a'.repeat(70_000)}${own}`)));
});
