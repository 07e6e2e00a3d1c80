import {Buffer} from 'node:buffer';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {formatTemplate, TargetState, type Member} from '@bluebellyard/core';
import {closeServer, listen, type RequestRouter} from '../entry/index.js';
import type {Address} from '../settings/index.js';

/** What the server shows. */
export type ControlServerOptions = {
	readonly member: () => Member;
	readonly router: Pick<RequestRouter, 'match' | 'findShard' | 'findOwner'>;
	readonly isReady: () => boolean;
	readonly folded: () => number;
	readonly now: () => number;
};

/** Answers the questions of the operators' command. */
export class ControlServer {
	private readonly server: Server;

	constructor(private readonly options: ControlServerOptions) {
		this.server = createServer((req, res) => {
			this.serve(new URL(req.url!, 'http://control'), res);
		});
	}

	/** Listens; resolves to the address with its real port. */
	async start(addr: Address): Promise<string> {
		return listen(this.server, addr);
	}

	/** Closes all connections. */
	async stop(): Promise<void> {
		await closeServer(this.server);
	}

	private serve(url: URL, res: ServerResponse): void {
		switch (url.pathname) {
			case '/status': {
				sendJson(res, 200, this.status());
				break;
			}

			case '/explain': {
				const method = url.searchParams.get('method') ?? 'GET';
				sendJson(res, 200, this.explain(method, url.searchParams.get('path') ?? '/'));
				break;
			}

			default: {
				sendJson(res, 404, {error: 'No such page.'});
			}
		}
	}

	private status(): Record<string, unknown> {
		const {member, isReady, folded, now} = this.options;
		const {tables, id} = member();
		const rightMs = member().rightUntil() - now();
		return {
			instance: id,
			domain: tables.instances.get(id)?.domain ?? '',
			folded: folded(),
			config: tables.config.offset,
			ready: isReady(),
			rightMs: Number.isFinite(rightMs) ? Math.round(rightMs) : null,
			targets: [...tables.targets.values()].map(target => ({
				target: target.name,
				pool: target.pool,
				domain: target.domain,
				steward: target.steward,
				tenure: target.tenure,
				state: target.state,
				shards: tables.pools.get(target.pool)?.shards.filter(shard => shard.owner === target.name).length ?? 0,
			})),
			instances: [...tables.instances.values()].map(({id: instance, domain, state, joined}) => ({
				instance, domain, state, joined,
			})),
		};
	}

	private explain(method: string, path: string): Record<string, unknown> {
		const {router, member} = this.options;
		const match = router.match(method, path);
		if (match === undefined) {
			return {matched: false};
		}

		const {pool, key, route} = match;
		const shard = router.findShard(pool, key);
		const owner = router.findOwner(pool.name, shard);
		const {targets, pools} = member().tables;
		const usable = [...targets.values()].filter(target => target.pool === pool.name && target.state === TargetState.Live);
		return {
			matched: true,
			pool: pool.name,
			route: formatTemplate(route.segments),
			line: route.source?.line,
			who: route.source?.who,
			repeat: route.repeat,
			key,
			shard,
			fence: pools.get(pool.name)?.shards[shard]?.fence,
			target: owner?.name,
			state: owner?.state,
			steward: owner?.steward,
			targets: shard < 0 ? usable.map(target => target.name) : undefined,
		};
	}
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
	const text = JSON.stringify(body);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	res.end(text);
}
