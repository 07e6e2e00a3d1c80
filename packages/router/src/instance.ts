import {randomInt} from 'node:crypto';
import {
	systemClock, type HeartbeatAnswer, type Timing,
} from '@bluebellyard/core';
import {periodic} from 'most';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {ControlServer} from './control/index.js';
import {
	formatAddress, CallerServer, Forwarder, InternalServer, RequestBackups, PeerAtMostOnceGuard, requestWindowMs, RequestRouter, StewardQueue,
} from './entry/index.js';
import {MemberHost, reportGauges} from './host/index.js';
import {createLogger} from './logging/index.js';
import {createCounters, type Counters} from './metrics/index.js';
import {
	clientCredentials, PeerClients, PeerRequestHandler, PeerServer,
} from './peer/index.js';
import type {RequestRecord__Output} from './peer/generated/bluebellyard/RequestRecord.js';
import {readTlsFiles, type Settings} from './settings/index.js';

/** Longest time for handing over and letting requests end when the process stops, in milliseconds. */
const stopGraceMs = 15_000;

/** Between two reports of the gauges, in milliseconds. */
const gaugesMs = 1000;

/** Time for which a stopping process still tells its successors the request ids that it knows, in milliseconds. */
const lingerMs = 1000;

/** Seeds that a generator takes. */
const seedSpace = 0x7F_FF_FF_FF;

const logger = createLogger('instance');

/** One entry instance: all of its parts, wired together. */
export class Instance {
	readonly host: MemberHost;
	private readonly counters: Counters;
	private readonly peers: PeerClients;
	private readonly peerServer: PeerServer;
	private readonly callers: CallerServer;
	private readonly internal: InternalServer;
	private readonly control: ControlServer;
	private readonly forwarder: Forwarder;
	private readonly guard: PeerAtMostOnceGuard;
	private isClosed = false;

	constructor(private readonly cfg: Settings) {
		const now = () => systemClock.now();
		const tls = readTlsFiles(cfg.tls);
		const seed = randomInt(seedSpace);
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
		const kept = new RequestBackups(requestWindowMs, now);
		this.guard = new PeerAtMostOnceGuard({
			member, peers: this.peers, backups: kept, ids: () => desk.ids, clock: systemClock,
		});
		const desk = new StewardQueue(this.host.work, this.guard, now, this.counters);
		this.forwarder = new Forwarder(tls, now);
		const router = new RequestRouter({
			member, stewardQueue: desk, forwarder: this.forwarder, counters: this.counters, now, seed,
		});
		this.host.work.setReference(pool => router.referenceMs(pool));
		const isReady = () => this.host.isReady;
		this.callers = new CallerServer({
			router, limits: cfg.limits, counters: this.counters, now, isReady,
		});
		this.internal = new InternalServer({
			stewardQueue: desk, limits: cfg.limits, tls, now,
		});
		this.control = new ControlServer({
			member, router, isReady, folded: () => this.host.folded, now,
		});
		this.peerServer = new PeerServer(new InstanceDuties(this.host, kept, desk, this.guard));
		this.host.onChange(() => {
			this.guard.fetchMissingIds();
		});
	}

	/** Opens all ports and starts; resolves to the address for callers. */
	async start(): Promise<string> {
		const {listen, tls} = this.cfg;
		const port = await this.peerServer.start(formatAddress(listen.peers), readTlsFiles(tls));
		this.host.setAddresses({
			peerAddr: formatAddress({...listen.peers, port}),
			internalAddr: await this.internal.start(listen.internal),
			controlAddr: await this.control.start(listen.control),
		});
		this.host.start();
		void periodic(gaugesMs).takeWhile(() => !this.isClosed).observe(() => {
			reportGauges(this.counters, this.host, systemClock.now());
		});
		const addr = await this.callers.start(listen.callers);
		logger.info('Started.', {callers: addr});
		return addr;
	}

	/** Lets requests in flight end, hands everything over and closes. */
	async stop(): Promise<void> {
		logger.info('Stopping.');
		const drained = this.callers.drain();
		this.host.leave(await this.guard.handOverBackups());
		await Promise.race([Promise.all([drained, this.host.left]), delay(stopGraceMs)]);
		await this.idle();
		await delay(lingerMs);
		await this.close();
		logger.info('Stopped.');
	}

	/** Closes everything at once. */
	async close(): Promise<void> {
		this.isClosed = true;
		await this.callers.stop();
		await this.internal.stop();
		await this.control.stop();
		this.peerServer.stop();
		await this.host.stop();
		await this.forwarder.close();
		this.peers.close();
		await this.counters.close();
	}

	/** Reads the keys again; new connections use them. */
	async reloadTls(): Promise<void> {
		const tls = readTlsFiles(this.cfg.tls);
		if (tls === undefined) {
			return;
		}

		this.peerServer.updateTls(tls);
		this.peers.updateCredentials(clientCredentials(tls));
		this.internal.updateTls(tls);
		await this.forwarder.updateTls(tls);
		logger.info('Keys read again.');
	}

	/** Waits until no forwarded order is in the works here. */
	private async idle(): Promise<void> {
		const deadline = systemClock.now() + stopGraceMs;
		while (this.host.work.pendingCount > 0 && systemClock.now() < deadline) {
			// Orders end by themselves.
			// eslint-disable-next-line no-await-in-loop
			await delay(idleCheckMs);
		}
	}
}

/** Between two looks at whether orders are in the works, in milliseconds. */
const idleCheckMs = 20;

/** What this instance answers to others. */
class InstanceDuties extends PeerRequestHandler {
	constructor(
		private readonly host: MemberHost,
		private readonly kept: RequestBackups,
		private readonly desk: StewardQueue,
		private readonly guard: PeerAtMostOnceGuard,
	) {
		super();
	}

	override handleHeartbeat(from: string): HeartbeatAnswer {
		return this.host.member.answerHeartbeat(from, systemClock.now());
	}

	override async hasFolded(offset: number): Promise<boolean> {
		return this.host.hasFolded(offset);
	}

	override getInstanceId(): string {
		return this.host.member.id;
	}

	override getState(): {readonly folded: number; readonly tables: string} | undefined {
		return this.host.encodeState();
	}

	override dropRequest(instance: string, id: string, attempt: string): void {
		this.kept.remove(instance, id, attempt);
	}

	override keepRequest(instance: string, record: RequestRecord__Output): boolean {
		return this.kept.add(instance, record);
	}

	override async findRequests(instance: string, shards: readonly string[]): Promise<readonly RequestRecord__Output[] | undefined> {
		if (instance !== this.host.member.id) {
			return shards.flatMap(shard => this.kept.findByShard(instance, shard));
		}

		const complete = await Promise.all(shards.map(async shard => this.guard.isComplete(shard)));
		if (!complete.every(Boolean)) {
			return undefined;
		}

		await this.desk.waitUntilIdle(shards);
		return shards.flatMap(shard => this.desk.ids.exportShard(shard, systemClock.now()))
			.map(({id, shard, fingerprint, state, ageMs}) => ({
				id, shard, fingerprint, state, ageMs, attempt: '',
			}));
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

async function delay(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms).unref();
	});
}
