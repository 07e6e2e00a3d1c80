import type {ChannelCredentials} from '@grpc/grpc-js';
import {PeerClient} from './peer-client.js';

/** Connections to other instances, by address. */
export class PeerClients {
	private readonly clients = new Map<string, PeerClient>();
	private credentials: ChannelCredentials;

	constructor(credentials: ChannelCredentials) {
		this.credentials = credentials;
	}

	/** The connection to an address; opened at the first use. */
	get(addr: string): PeerClient {
		const known = this.clients.get(addr);
		if (known !== undefined) {
			return known;
		}

		const client = new PeerClient(addr, this.credentials);
		this.clients.set(addr, client);
		return client;
	}

	/** Closes the connections to addresses that are no longer in use. */
	keepOnly(addrs: ReadonlySet<string>): void {
		for (const [addr, client] of this.clients) {
			if (!addrs.has(addr)) {
				client.close();
				this.clients.delete(addr);
			}
		}
	}

	/** Uses other credentials from now on; connections are opened again. */
	updateCredentials(credentials: ChannelCredentials): void {
		this.credentials = credentials;
		this.close();
	}

	/** Closes all connections. */
	close(): void {
		this.keepOnly(new Set());
	}
}
