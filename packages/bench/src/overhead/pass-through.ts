import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Pool} from 'undici';

/** Creates a server that forwards every request unchanged: the minimum work of a router built on `http` and `undici`. */
export function createPassThroughServer(targetAddr: string, connections: number): Server {
	const pool = new Pool(`http://${targetAddr}`, {connections});
	return createServer((req, res) => {
		forward(pool, req, res).catch(() => {
			req.socket.destroy();
		});
	});
}

async function forward(pool: Pool, req: IncomingMessage, res: ServerResponse): Promise<void> {
	const hasBody = req.method !== 'GET' && req.method !== 'HEAD';
	const {host: _host, connection: _connection, ...headers} = req.headers;
	const answer = await pool.request({
		method: req.method!,
		path: req.url!,
		headers,
		body: hasBody ? req : undefined,
	});
	res.writeHead(answer.statusCode, answer.headers);
	answer.body.pipe(res);
}
