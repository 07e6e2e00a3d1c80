import type {HostRoute} from './model.js';

/** Finds the route of a request by its host and the longest matching path prefix. */
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

	/** Returns the route for a `host` header and a request path; undefined when none matches. */
	match(host: string, path: string): HostRoute | undefined {
		const colon = host.indexOf(':');
		const name = (colon === -1 ? host : host.slice(0, colon)).toLowerCase();
		const query = path.indexOf('?');
		const pathname = query === -1 ? path : path.slice(0, query);
		return this.byHost.get(name)?.find(route => pathname.startsWith(route.prefix));
	}
}
