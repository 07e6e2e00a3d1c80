import {request} from 'undici';

/** Response to a call. */
export type CallResult = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly text: string;
	/** Parses the body as JSON. The shape `T` is not checked. */
	json<T>(): T;
};

/** Options of a call. */
export type CallOptions = {
	readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly headers?: Record<string, string>;
	/** Value to send as JSON. */
	readonly body?: unknown;
	readonly signal?: AbortSignal;
};

/** Sends a request to `path` at `addr` and reads the whole response. The method is GET by default, or POST with a body. Throws if the connection fails. */
export async function call(addr: string, path: string, options: CallOptions = {}): Promise<CallResult> {
	const {body, headers, signal} = options;
	const res = await request(`http://${addr}${path}`, {
		method: options.method ?? (body === undefined ? 'GET' : 'POST'),
		headers,
		body: body === undefined ? undefined : JSON.stringify(body),
		signal,
	});
	const text = await res.body.text();
	return {
		status: res.statusCode,
		headers: res.headers,
		text,
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the stand-ins define the shape
		json: <T>() => JSON.parse(text) as T,
	};
}
