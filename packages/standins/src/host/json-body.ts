import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** Maximum size of a request body, in bytes. */
const maxBodyBytes = 16 * 1024 * 1024;

/** Reads a whole request body. Throws if it is larger than the limit or ends early. */
export async function readBody(req: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	for await (const chunk of req as AsyncIterable<Uint8Array>) {
		bytes += chunk.length;
		if (bytes > maxBodyBytes) {
			throw new RangeError('The body is too large');
		}

		chunks.push(chunk);
	}

	return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}

/** Reads a request body and parses it as JSON. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
	const body = await readBody(req);
	return JSON.parse(new TextDecoder().decode(body)) as unknown;
}

/** Sends a JSON response with its content length. */
export function sendJson(res: ServerResponse, status: number, value: unknown): void {
	const text = JSON.stringify(value);
	res.writeHead(status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
	});
	res.end(text);
}
