import {randomInt} from 'node:crypto';
import {
	systemClock, type HeartbeatAnswer, type Timing, MemoryBudget,
} from '@bluebellyard/core';
import {periodic} from 'most';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {ControlServer} from './control/index.js';
import {
	formatAddress, CallerServer, Forwarder, InternalServer, RequestBackups, PeerAtMostOnceGuard, requestWindowMs, RequestRouter, StewardExecutor,
} from './entry/index.js';
import {MemberHost, reportGauges} from './host/index.js';
import {createLogger} from './logging/index.js';
import {createCounters, type Counters} from './metrics/index.js';
import {
	clientCredentials, PeerClients, PeerRequestHandler, PeerServer, type KnownRequests,
} from './peer/index.js';
import type {RequestRecord__Output} from './peer/generated/bluebellyard/RequestRecord.js';
import {readTlsFiles, type Settings} from './settings/index.js';

/** Interval between two reports of the gauges. */
const gaugeIntervalMs = 1000;

/** Times of a planned stop, in milliseconds. */
export type StopTimes = {
	/** Time from the start of a stop in which callers may send one more request on each kept connection; the answer closes it. */
	readonly keptConnectionsMs: number;
	/** Longest time for the handover, and again for requests in flight. */
	readonly timeoutMs: number;
	/** Time for which a stopping process keeps answering its successors' queries for known request ids. */
	readonly lingerMs: number;
};

const defaultStopTimes: StopTimes = {keptConnectionsMs: 500, timeoutMs: 15_000, lingerMs: 1000};

/** Exclusive upper bound of the seeds that the random generator accepts. */
const seedUpperBound = 0x7F_FF_FF_FF;

const logger = createLogger('instance');

/** One router instance: creates its parts, connects them, and starts and stops them. */
export class Instance {
	readonly host: MemberHost;
	private readonly counters: Counters;
	private readonly peers: PeerClients;
	private readonly peerServer: PeerServer;
	private readonly callerServer: CallerServer;
	private readonly internalServer: InternalServer;
	private readonly controlServer: ControlServer;
	private readonly forwarder: Forwarder;
	private readonly guard: PeerAtMostOnceGuard;
	private isClosed = false;

	constructor(private readonly cfg: Settings, private readonly stopTimes = defaultStopTimes) {
		const now = () => systemClock.now();
		const tls = readTlsFiles(cfg.tls);
		const seed = randomInt(seedUpperBound);
		const generator = xoroshiro128plus(seed);
		this.counters = createCounters(cfg.metrics);
		this.peers = new PeerClients(clientCredentials(tls));
		this.host = new MemberHost({
			self: {
				name: cfg.instance.name,
				domain: cfg.instance.domain,
				peerAddr: formatAddress(cfg.listen.peers),
				internalAddr: formatAddress(cfg.listen.internal),
				controlAddr: formatAddress(cfg.listen.control),
			},
			timing: toTiming(cfg),
			logOrigin: cfg.platform.log,
			membershipOrigin: cfg.platform.membership,
			clock: systemClock,
			random: () => uniformFloat64(generator),
			peers: this.peers,
			counters: this.counters,
			connections: cfg.limits.connections,
			retentionMs: cfg.platform.retention,
			peerAddrs: (cfg.platform.peers ?? []).map(addr => formatAddress(addr)),
		});
		const member = () => this.host.member;
		const backups = new RequestBackups(requestWindowMs, now);
		this.guard = new PeerAtMostOnceGuard({
			member, peers: this.peers, backups, ids: () => stewardExecutor.ids, clock: systemClock,
		});
		const stewardExecutor = new StewardExecutor({
			executors: this.host.executors, guard: this.guard, now, counters: this.counters,
		});
		this.forwarder = new Forwarder(tls, now);
		const router = new RequestRouter({
			member, stewardExecutor, forwarder: this.forwarder, counters: this.counters, now, seed,
		});
		this.host.executors.setReference(pool => router.referenceMs(pool));
		const isReady = () => this.host.isReady;
		const budget = new MemoryBudget(cfg.limits.held);
		this.callerServer = new CallerServer({
			budget, router, limits: cfg.limits, counters: this.counters, now, isReady,
		});
		this.internalServer = new InternalServer({
			budget, stewardExecutor, limits: cfg.limits, tls, now,
		});
		this.controlServer = new ControlServer({
			member, router, isReady, folded: () => this.host.folded, now,
		});
		this.peerServer = new PeerServer(new InstanceRequestHandler(this.host, backups, stewardExecutor, this.guard));
		this.host.onChange(() => {
			this.guard.fetchMissingIds();
		});
	}

	/** Opens all ports and starts the instance; resolves to the address for callers. */
	async start(): Promise<string> {
		const {listen, tls} = this.cfg;
		const port = await this.peerServer.start(formatAddress(listen.peers), readTlsFiles(tls));
		this.host.setAddresses({
			peerAddr: formatAddress({...listen.peers, port}),
			internalAddr: await this.internalServer.start(listen.internal),
			controlAddr: await this.controlServer.start(listen.control),
		});
		this.host.start();
		void periodic(gaugeIntervalMs).takeWhile(() => !this.isClosed).observe(() => {
			reportGauges(this.counters, this.host, systemClock.now());
		});
		const addr = await this.callerServer.start(listen.callers);
		logger.info('Started.', {callers: addr});
		return addr;
	}

	/** Stops gracefully: drains the caller connections, hands everything over, waits for requests in flight and closes. */
	async stop(): Promise<void> {
		const {keptConnectionsMs, timeoutMs, lingerMs} = this.stopTimes;
		logger.info('Stopping.');
		this.callerServer.beginStop(systemClock.now() + keptConnectionsMs + timeoutMs);
		await sleep(keptConnectionsMs);
		const drained = this.callerServer.drain();
		const idsHandedOver = await this.guard.handOverBackups();
		this.host.leave(idsHandedOver, await this.guard.handOverOwnIds(), this.guard.copiesHolder);
		await Promise.race([Promise.all([drained, this.host.left]), sleep(timeoutMs)]);
		this.callerServer.refuseNew();
		await this.waitUntilIdle();
		if (this.callerServer.inFlight > 0) {
			logger.warn('Requests were not answered before the end of the stop.', {requests: this.callerServer.inFlight});
			this.callerServer.endOpen();
		}

		this.internalServer.beginStop();
		await sleep(lingerMs);
		await Promise.race([this.internalServer.drain(), sleep(timeoutMs)]);
		await this.close();
		logger.info('Stopped.');
	}

	/** Closes everything at once, without a handover. */
	async close(): Promise<void> {
		this.isClosed = true;
		await this.callerServer.stop();
		await this.internalServer.stop();
		await this.controlServer.stop();
		this.peerServer.stop();
		await this.host.stop();
		await this.forwarder.close();
		this.peers.close();
		await this.counters.close();
	}

	/** Reloads the TLS files; new connections use them. */
	async reloadTls(): Promise<void> {
		const tls = readTlsFiles(this.cfg.tls);
		if (tls === undefined) {
			return;
		}

		this.peerServer.updateTls(tls);
		this.peers.updateCredentials(clientCredentials(tls));
		this.internalServer.updateTls(tls);
		await this.forwarder.updateTls(tls);
		logger.info('TLS files reloaded.');
	}

	/** Waits until no order is in progress here and no request of a caller in flight, for at most `timeoutMs`. */
	private async waitUntilIdle(): Promise<void> {
		const deadline = systemClock.now() + this.stopTimes.timeoutMs;
		while (this.host.executors.pendingCount + this.callerServer.inFlight > 0 && systemClock.now() < deadline) {
			// Orders end without further action here.
			// eslint-disable-next-line no-await-in-loop
			await sleep(idleCheckIntervalMs);
		}
	}
}

/** Interval between two checks whether orders are in progress. */
const idleCheckIntervalMs = 20;

/** Answers the calls of other instances. */
class InstanceRequestHandler extends PeerRequestHandler {
	constructor(
		private readonly host: MemberHost,
		private readonly backups: RequestBackups,
		private readonly stewardExecutor: StewardExecutor,
		private readonly guard: PeerAtMostOnceGuard,
	) {
		super();
	}

	override handleHeartbeat(from: string): HeartbeatAnswer {
		return this.host.member.answerHeartbeat(from, systemClock.now());
	}

	override async hasFolded(offset: number, evicted: readonly string[]): Promise<boolean> {
		return this.host.hasFolded(offset, evicted);
	}

	override getInstanceId(): string {
		return this.host.member.id;
	}

	override getState(): {readonly folded: number; readonly tables: string} | undefined {
		return this.host.encodeState();
	}

	override dropRequest(instance: string, id: string, attempt: string): void {
		this.backups.remove(instance, id, attempt);
	}

	override keepRequest(instance: string, record: RequestRecord__Output): boolean {
		return this.backups.add(instance, record);
	}

	override async findRequests(instance: string, shards: readonly string[]): Promise<KnownRequests | undefined> {
		if (!this.host.isOwnId(instance)) {
			return {instance: this.host.member.id, records: shards.flatMap(shard => this.backups.findByShard(instance, shard))};
		}

		const isShardComplete = await Promise.all(shards.map(async shard => this.guard.isComplete(shard)));
		if (!isShardComplete.every(Boolean)) {
			return undefined;
		}

		await this.stewardExecutor.waitUntilIdle(shards);
		const records = shards.flatMap(shard => this.stewardExecutor.ids.exportShard(shard, systemClock.now()))
			.map(({id, shard, fingerprint, state, ageMs}) => ({
				id, shard, fingerprint, state, ageMs, attempt: '',
			}));
		return {instance, records};
	}
}

function toTiming({timing}: Settings): Timing {
	return {
		heartbeatMs: timing.heartbeat,
		suspectMs: timing.suspect,
		rightMs: timing.right,
		isolationMs: timing.isolation,
		leaseMs: timing.lease,
		drift: timing.drift,
	};
}

async function sleep(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms).unref();
	});
}
