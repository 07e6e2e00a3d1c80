import {type ChannelCredentials, type ClientDuplexStream, type ServiceError} from '@grpc/grpc-js';
import type {HeartbeatAnswer} from '@bluebellyard/core';
import type {BeatReply__Output} from './generated/bluebellyard/BeatReply.js';
import type {BeatRequest} from './generated/bluebellyard/BeatRequest.js';
import type {PeerClient as GrpcClient} from './generated/bluebellyard/Peer.js';
import type {FetchRequestsReply__Output} from './generated/bluebellyard/FetchRequestsReply.js';
import type {RequestRecord} from './generated/bluebellyard/RequestRecord.js';
import type {StateReply__Output} from './generated/bluebellyard/StateReply.js';
import {PeerService} from './proto.js';

/** Time after which a heartbeat without an answer is discarded, in milliseconds. */
const heartbeatTimeoutMs = 1000;

/** Maximum size of an answer of a peer, in bytes; the tables of a large cluster are sent as one answer. */
const maxAnswerBytes = 64 * 1024 * 1024;

/** Lost connections are reopened after a short delay, so that heartbeats reach a restarted instance early. */
/* eslint-disable @typescript-eslint/naming-convention */
const channelOptions = {
	'grpc.initial_reconnect_backoff_ms': 50,
	'grpc.min_reconnect_backoff_ms': 50,
	'grpc.max_reconnect_backoff_ms': 500,
	'grpc.max_receive_message_length': maxAnswerBytes,
};
/* eslint-enable @typescript-eslint/naming-convention */

type PendingHeartbeat = {
	readonly sentAt: number;
	readonly done: (answer: HeartbeatAnswer) => void;
};

/** Client for the gRPC calls to one other instance. */
export class PeerClient {
	private readonly client: GrpcClient;
	private stream: ClientDuplexStream<BeatRequest, BeatReply__Output> | undefined;
	private readonly pendingHeartbeats = new Map<number, PendingHeartbeat>();
	private lastNumber = 0;

	constructor(addr: string, credentials: ChannelCredentials) {
		this.client = new PeerService(addr, credentials, channelOptions);
	}

	/** Sends a heartbeat at monotonic time `now`; calls `done` with the answer, or never when none arrives. */
	sendHeartbeat(from: string, now: number, done: (answer: HeartbeatAnswer) => void): void {
		this.lastNumber += 1;
		this.discardExpiredHeartbeats(now);
		this.pendingHeartbeats.set(this.lastNumber, {sentAt: now, done});
		this.openStream().write({from, number: this.lastNumber});
	}

	/** Resolves to the id of the instance when it has folded the eviction and counts none of `evicted` as a member; undefined when not, or when the call fails. */
	async confirmEviction(eviction: number, evicted: readonly string[], timeoutMs: number): Promise<string | undefined> {
		return new Promise(resolve => {
			this.client.confirm({eviction, evicted: [...evicted]}, {deadline: Date.now() + timeoutMs}, (err, reply) => {
				resolve(err === null && reply?.folded ? reply.instance : undefined);
			});
		});
	}

	/** Resolves to the tables of the instance; undefined when the call fails or it has none. */
	async fetchState(timeoutMs: number): Promise<StateReply__Output | undefined> {
		return new Promise(resolve => {
			this.client.fetchState({}, {deadline: Date.now() + timeoutMs}, (err: ServiceError | null, reply) => {
				resolve(err === null && reply?.ready ? reply : undefined);
			});
		});
	}

	/** Asks the peer to store request ids as a backup for `instance`; resolves to whether it stored all of them. */
	async keepRequests(instance: string, records: readonly RequestRecord[], timeoutMs: number): Promise<boolean> {
		return new Promise(resolve => {
			this.client.keepRequest({instance, records: [...records]}, {deadline: Date.now() + timeoutMs}, (err, reply) => {
				resolve(err === null && (reply?.kept ?? false));
			});
		});
	}

	/** Asks the peer to remove the id of a request that did not run. */
	async dropRequest(instance: string, id: string, attempt: string, timeoutMs: number): Promise<void> {
		return new Promise(resolve => {
			this.client.dropRequest({instance, id, attempt}, {deadline: Date.now() + timeoutMs}, () => {
				resolve();
			});
		});
	}

	/** Resolves to the request ids that the peer knows for shards of `instance`, with the id of the incarnation that knows them; undefined when the call fails or ids may be missing. */
	async fetchRequests(instance: string, shards: readonly string[], timeoutMs: number): Promise<FetchRequestsReply__Output | undefined> {
		return new Promise(resolve => {
			this.client.fetchRequests({instance, shards: [...shards]}, {deadline: Date.now() + timeoutMs}, (err, reply) => {
				resolve(err === null ? reply : undefined);
			});
		});
	}

	/** Closes the connection. */
	close(): void {
		this.stream?.cancel();
		this.client.close();
	}

	private openStream(): ClientDuplexStream<BeatRequest, BeatReply__Output> {
		if (this.stream === undefined) {
			const stream = this.client.beat();
			stream.on('data', (reply: BeatReply__Output) => {
				this.handleHeartbeatReply(reply);
			});
			stream.on('error', () => {
				this.discardStream(stream);
			});
			stream.on('end', () => {
				this.discardStream(stream);
			});
			this.stream = stream;
		}

		return this.stream;
	}

	private discardStream(stream: ClientDuplexStream<BeatRequest, BeatReply__Output>): void {
		if (this.stream === stream) {
			this.stream = undefined;
		}
	}

	private handleHeartbeatReply(reply: BeatReply__Output): void {
		const heartbeat = this.pendingHeartbeats.get(reply.number);
		this.pendingHeartbeats.delete(reply.number);
		heartbeat?.done(reply);
	}

	private discardExpiredHeartbeats(now: number): void {
		for (const [number, heartbeat] of this.pendingHeartbeats) {
			if (now - heartbeat.sentAt > heartbeatTimeoutMs) {
				this.pendingHeartbeats.delete(number);
			}
		}
	}
}
