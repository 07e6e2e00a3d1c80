import {type ChannelCredentials, type ClientDuplexStream, type ServiceError} from '@grpc/grpc-js';
import type {HeartbeatAnswer} from '@bluebellyard/core';
import type {BeatReply__Output} from './generated/bluebellyard/BeatReply.js';
import type {BeatRequest} from './generated/bluebellyard/BeatRequest.js';
import type {PeerClient as GrpcClient} from './generated/bluebellyard/Peer.js';
import type {RequestRecord} from './generated/bluebellyard/RequestRecord.js';
import type {StateReply__Output} from './generated/bluebellyard/StateReply.js';
import {PeerService} from './proto.js';

/** Time after which a heartbeat without an answer is forgotten, in milliseconds. */
const beatTimeoutMs = 1000;

/** Largest answer of a peer, in bytes; the tables of a large cluster are one. */
const maxAnswerBytes = 64 * 1024 * 1024;

/** A lost connection is tried again soon, so that a restarted instance is heard at once. */
/* eslint-disable @typescript-eslint/naming-convention */
const channelOptions = {
	'grpc.initial_reconnect_backoff_ms': 50,
	'grpc.min_reconnect_backoff_ms': 50,
	'grpc.max_reconnect_backoff_ms': 500,
	'grpc.max_receive_message_length': maxAnswerBytes,
};
/* eslint-enable @typescript-eslint/naming-convention */

type PendingBeat = {
	readonly sentAt: number;
	readonly done: (answer: HeartbeatAnswer) => void;
};

/** Connection to one other instance. */
export class PeerClient {
	private readonly client: GrpcClient;
	private stream: ClientDuplexStream<BeatRequest, BeatReply__Output> | undefined;
	private readonly beats = new Map<number, PendingBeat>();
	private lastNumber = 0;

	constructor(addr: string, credentials: ChannelCredentials) {
		this.client = new PeerService(addr, credentials, channelOptions);
	}

	/** Sends a heartbeat at monotonic time `now`; calls `done` when it is answered, else never. */
	sendHeartbeat(from: string, now: number, done: (answer: HeartbeatAnswer) => void): void {
		this.lastNumber += 1;
		this.forgetBeats(now);
		this.beats.set(this.lastNumber, {sentAt: now, done});
		this.openStream().write({from, number: this.lastNumber});
	}

	/** Whether the instance folded the eviction; false when it can't be asked. */
	async confirmEviction(eviction: number, timeoutMs: number): Promise<string | undefined> {
		return new Promise(resolve => {
			this.client.confirm({eviction}, {deadline: Date.now() + timeoutMs}, (err, reply) => {
				resolve(err === null && reply?.folded ? reply.instance : undefined);
			});
		});
	}

	/** Tables of the instance; undefined when it can't be asked or has none. */
	async fetchState(timeoutMs: number): Promise<StateReply__Output | undefined> {
		return new Promise(resolve => {
			this.client.fetchState({}, {deadline: Date.now() + timeoutMs}, (err: ServiceError | null, reply) => {
				resolve(err === null && reply?.ready ? reply : undefined);
			});
		});
	}

	/** Asks the instance to keep the ids of requests; whether it keeps all of them. */
	async keepRequests(instance: string, records: readonly RequestRecord[], timeoutMs: number): Promise<boolean> {
		return new Promise(resolve => {
			this.client.keepRequest({instance, records: [...records]}, {deadline: Date.now() + timeoutMs}, (err, reply) => {
				resolve(err === null && (reply?.kept ?? false));
			});
		});
	}

	/** Asks the instance to drop the id of a request that did not run. */
	async dropRequest(instance: string, id: string, attempt: string, timeoutMs: number): Promise<void> {
		return new Promise(resolve => {
			this.client.dropRequest({instance, id, attempt}, {deadline: Date.now() + timeoutMs}, () => {
				resolve();
			});
		});
	}

	/** Ids of requests that the instance knows for shards; undefined when it can't be asked. */
	async fetchRequests(instance: string, shards: readonly string[], timeoutMs: number): Promise<readonly RequestRecord[] | undefined> {
		return new Promise(resolve => {
			this.client.fetchRequests({instance, shards: [...shards]}, {deadline: Date.now() + timeoutMs}, (err, reply) => {
				resolve(err === null ? reply?.records : undefined);
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
				this.take(reply);
			});
			stream.on('error', () => {
				this.drop(stream);
			});
			stream.on('end', () => {
				this.drop(stream);
			});
			this.stream = stream;
		}

		return this.stream;
	}

	private drop(stream: ClientDuplexStream<BeatRequest, BeatReply__Output>): void {
		if (this.stream === stream) {
			this.stream = undefined;
		}
	}

	private take(reply: BeatReply__Output): void {
		const beat = this.beats.get(reply.number);
		this.beats.delete(reply.number);
		beat?.done(reply);
	}

	private forgetBeats(now: number): void {
		for (const [number, beat] of this.beats) {
			if (now - beat.sentAt > beatTimeoutMs) {
				this.beats.delete(number);
			}
		}
	}
}
