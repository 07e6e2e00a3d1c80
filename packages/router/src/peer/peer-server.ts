import {Server, status} from '@grpc/grpc-js';
import type {HeartbeatAnswer} from '@bluebellyard/core';
import VError from 'verror';
import type {TlsFiles} from '../settings/index.js';
import {serverCredentials} from './credentials.js';
import type {PeerHandlers} from './generated/bluebellyard/Peer.js';
import type {RequestRecord__Output} from './generated/bluebellyard/RequestRecord.js';
import {PeerService} from './proto.js';
import {TlsProvider} from './tls-provider.js';

/** Request ids that one incarnation of an instance knows. */
export type KnownRequests = {
	readonly instance: string;
	readonly records: readonly RequestRecord__Output[];
};

/** Handles the calls of other instances. */
export abstract class PeerRequestHandler {
	/** Returns the answer to a heartbeat of the instance `from`. */
	abstract handleHeartbeat(from: string): HeartbeatAnswer;
	/** Resolves to whether the log is folded up to the offset and none of `evicted` counts as a member; may wait a short time for it. */
	abstract hasFolded(offset: number, evicted: readonly string[]): Promise<boolean>;
	/** Returns the instance id, which is new in each process. */
	abstract getInstanceId(): string;
	/** Returns the folded tables and their log offset; undefined before they are loaded. */
	abstract getState(): {readonly folded: number; readonly tables: string} | undefined;
	/** Stores the id of a request that another instance is about to send; returns whether it was stored. */
	abstract keepRequest(instance: string, record: RequestRecord__Output): boolean;
	/** Removes a stored id whose request did not run. */
	abstract dropRequest(instance: string, id: string, attempt: string): void;
	/**
	 * Resolves to the ids stored as a backup for shards of `instance`, or to the ids of this process
	 * when that is this instance or was it before it joined again; undefined when some may be missing.
	 */
	abstract findRequests(instance: string, shards: readonly string[]): Promise<KnownRequests | undefined>;
}

/** Server for the gRPC calls of other instances. */
export class PeerServer {
	private readonly server = new Server();
	private tls: TlsProvider | undefined;

	constructor(handler: PeerRequestHandler) {
		this.server.addService(PeerService.service, createHandlers(handler));
	}

	/** Starts to listen, unencrypted when `tls` is undefined; resolves to the port that was bound and rejects when it cannot be bound. */
	async start(addr: string, tls: TlsFiles | undefined): Promise<number> {
		this.tls = tls === undefined ? undefined : new TlsProvider(tls);
		const credentials = serverCredentials(this.tls);
		return new Promise((resolve, reject) => {
			this.server.bindAsync(addr, credentials, (err, port) => {
				if (err === null) {
					resolve(port);
				} else {
					reject(new VError(err, 'Cannot listen for peers on %s', addr));
				}
			});
		});
	}

	/** Uses the given keys and certificates for new connections. */
	updateTls(tls: TlsFiles): void {
		this.tls?.updateFiles(tls);
	}

	/** Aborts all calls and closes the port. */
	stop(): void {
		this.server.forceShutdown();
	}
}

/* The method names are those of peer.proto. */
/* eslint-disable @typescript-eslint/naming-convention */
function createHandlers(handler: PeerRequestHandler): PeerHandlers {
	return {
		Beat(call) {
			call.on('data', ({from, number}: {from: string; number: number}) => {
				const answer = handler.handleHeartbeat(from);
				call.write({
					...answer, suspects: [...answer.suspects], silentDomains: [...answer.silentDomains], number,
				});
			});
			call.on('error', () => undefined);
			call.on('end', () => {
				call.end();
			});
		},
		Confirm(call, done) {
			void handler.hasFolded(call.request.eviction, call.request.evicted).then(folded => {
				done(null, {instance: handler.getInstanceId(), folded});
			});
		},
		FetchState(_call, done) {
			const state = handler.getState();
			done(null, {ready: state !== undefined, folded: state?.folded ?? 0, tables: state?.tables ?? ''});
		},
		KeepRequest(call, done) {
			const {instance, records} = call.request;
			done(null, {kept: records.every(record => handler.keepRequest(instance, record))});
		},
		DropRequest(call, done) {
			const {instance, id, attempt} = call.request;
			handler.dropRequest(instance, id, attempt);
			done(null, {kept: false});
		},
		FetchRequests(call, done) {
			const {instance, shards} = call.request;
			void handler.findRequests(instance, shards).then(known => {
				if (known === undefined) {
					done({code: status.UNAVAILABLE, details: 'some ids are not known here'});
				} else {
					done(null, {instance: known.instance, records: [...known.records]});
				}
			});
		},
	};
}
/* eslint-enable @typescript-eslint/naming-convention */
