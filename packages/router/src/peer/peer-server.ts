import {Server, status} from '@grpc/grpc-js';
import type {HeartbeatAnswer} from '@bluebellyard/core';
import VError from 'verror';
import type {TlsFiles} from '../settings/index.js';
import {serverCredentials} from './credentials.js';
import type {PeerHandlers} from './generated/bluebellyard/Peer.js';
import type {RequestRecord__Output} from './generated/bluebellyard/RequestRecord.js';
import {PeerService} from './proto.js';
import {TlsProvider} from './tls-provider.js';

/** What an instance answers to others. */
export abstract class PeerRequestHandler {
	/** Answers a heartbeat. */
	abstract handleHeartbeat(from: string): HeartbeatAnswer;
	/** Whether the log is folded up to the offset; may wait for a short time. */
	abstract hasFolded(offset: number): Promise<boolean>;
	/** Id of this process life. */
	abstract getInstanceId(): string;
	/** Folded tables; undefined before they are loaded. */
	abstract getState(): {readonly folded: number; readonly tables: string} | undefined;
	/** Keeps the id of a request that another instance is about to send. */
	abstract keepRequest(instance: string, record: RequestRecord__Output): boolean;
	/** Drops a kept id whose request did not run. */
	abstract dropRequest(instance: string, id: string, attempt: string): void;
	/** Ids kept for shards on behalf of an instance, or known as its own; undefined when some may be missing. */
	abstract findRequests(instance: string, shards: readonly string[]): Promise<readonly RequestRecord__Output[] | undefined>;
}

/** Server for the calls of other instances. */
export class PeerServer {
	private readonly server = new Server();
	private tls: TlsProvider | undefined;

	constructor(duties: PeerRequestHandler) {
		this.server.addService(PeerService.service, makeHandlers(duties));
	}

	/** Listens, without encryption when there are no keys; resolves to the port. */
	async start(addr: string, tls: TlsFiles | undefined): Promise<number> {
		this.tls = tls === undefined ? undefined : new TlsProvider(tls);
		const credentials = serverCredentials(this.tls);
		return new Promise((resolve, reject) => {
			this.server.bindAsync(addr, credentials, (err, port) => {
				if (err === null) {
					resolve(port);
				} else {
					reject(new VError(err, 'The peer port %s can not be opened', addr));
				}
			});
		});
	}

	/** Uses other keys for new connections. */
	updateTls(tls: TlsFiles): void {
		this.tls?.updateFiles(tls);
	}

	/** Ends all calls and closes the port. */
	stop(): void {
		this.server.forceShutdown();
	}
}

/* The names are those of the protocol. */
/* eslint-disable @typescript-eslint/naming-convention */
function makeHandlers(duties: PeerRequestHandler): PeerHandlers {
	return {
		Beat(call) {
			call.on('data', ({from, number}: {from: string; number: number}) => {
				const answer = duties.handleHeartbeat(from);
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
			void duties.hasFolded(call.request.eviction).then(folded => {
				done(null, {instance: duties.getInstanceId(), folded});
			});
		},
		FetchState(_call, done) {
			const state = duties.getState();
			done(null, {ready: state !== undefined, folded: state?.folded ?? 0, tables: state?.tables ?? ''});
		},
		KeepRequest(call, done) {
			const {instance, records} = call.request;
			done(null, {kept: records.every(record => duties.keepRequest(instance, record))});
		},
		DropRequest(call, done) {
			const {instance, id, attempt} = call.request;
			duties.dropRequest(instance, id, attempt);
			done(null, {kept: false});
		},
		FetchRequests(call, done) {
			const {instance, shards} = call.request;
			void duties.findRequests(instance, shards).then(records => {
				if (records === undefined) {
					done({code: status.UNAVAILABLE, details: 'some ids are not known here'});
				} else {
					done(null, {records: [...records]});
				}
			});
		},
	};
}
/* eslint-enable @typescript-eslint/naming-convention */
