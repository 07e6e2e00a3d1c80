import type {ChannelCredentials} from '@grpc/grpc-js';
import {PeerClient} from './peer-client.js';

/** Clients of other instances, by address. */
export class PeerClients {
	private readonly clients = new Map<string, PeerClient>();
	private credentials: ChannelCredentials;

	constructor(credentials: ChannelCredentials) {
		this.credentials = credentials;
	}

	/** Returns the client for an address; creates it at the first call. */
	get(addr: string): PeerClient {
		const known = this.clients.get(addr);
		if (known !== undefined) {
			return known;
		}

		const client = new PeerClient(addr, this.credentials);
		this.clients.set(addr, client);
		return client;
	}

	/** Closes the clients of all addresses but the given ones. */
	keepOnly(addrs: ReadonlySet<string>): void {
		for (const [addr, client] of this.clients) {
			if (!addrs.has(addr)) {
				client.close();
				this.clients.delete(addr);
			}
		}
	}

	/** Closes all clients; new ones use the given credentials. */
	updateCredentials(credentials: ChannelCredentials): void {
		this.credentials = credentials;
		this.close();
	}

	/** Closes all clients. */
	close(): void {
		this.keepOnly(new Set());
	}
}
