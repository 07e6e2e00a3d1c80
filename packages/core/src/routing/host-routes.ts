import type {HostRoute} from './model.js';

/** Finds the route of a request by host and longest prefix. */
export class HostRoutes {
	private readonly byHost = new Map<string, HostRoute[]>();

	constructor(routes: Iterable<HostRoute>) {
		for (const route of routes) {
			const list = this.byHost.get(route.host) ?? [];
			list.push(route);
			this.byHost.set(route.host, list);
		}

		for (const list of this.byHost.values()) {
			list.sort((a, b) => b.prefix.length - a.prefix.length);
		}
	}

	/** The route of a `host` header and request path. */
	match(host: string, path: string): HostRoute | undefined {
		const colon = host.indexOf(':');
		const name = (colon === -1 ? host : host.slice(0, colon)).toLowerCase();
		const query = path.indexOf('?');
		const plain = query === -1 ? path : path.slice(0, query);
		return this.byHost.get(name)?.find(route => plain.startsWith(route.prefix));
	}
}
