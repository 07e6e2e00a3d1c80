import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	HttpStandIn, readBody, readJson, sendJson,
} from '../host/index.js';
import {encodeAnswerBody, hashBody} from './answer-body.js';
import {ColdStart} from './cold-start.js';
import {Grants, grantSchema} from './grants.js';
import {LedgerJournal} from './ledger-journal.js';
import {
	Ledger, OrderEnd, type LedgerDump, type LedgerEntry,
} from './ledger.js';
import {createLedgerEntry, readNumberHeader} from './create-ledger-entry.js';
import {ReportSampler, type Report} from './report-sampler.js';
import {ServiceTime} from './service-time.js';
import {
	defaultTargetSettings, noTargetFaults, targetFaults, TargetKind,
	type TargetFaults, type TargetOptions, type TargetSettings,
} from './target-options.js';
import {AbortReason, clearTimers, type ReceivedOrder} from './received-order.js';

/** Why an order was not run. */
export enum NotRunReason {
	/** Unknown or stale fence, or an expired lease. */
	Fenced = 'fenced',
	/** More than the target bears. */
	Shed = 'shed',
	/** The caller left, or the time ran out, before it began. */
	Late = 'late',
}

const controlPrefix = '/control/';

/** Stand-in for a target: a server that does work for the router. */
export class Target extends HttpStandIn<TargetFaults> {
	/** Id of this process life; a restart changes it. */
	incarnation: string = randomUUID();
	private readonly settings: TargetSettings;
	private readonly journal: LedgerJournal | undefined;
	private readonly ledger: Ledger;
	private readonly grants = new Grants();
	private readonly coldStart: ColdStart;
	private readonly serviceTime: ServiceTime;
	private readonly reports: ReportSampler;
	private readonly running = new Set<ReceivedOrder>();
	private held = 0;
	private thaw = Promise.resolve();
	private endFreeze: (() => void) | undefined;

	constructor(options: TargetOptions = {}) {
		super(options, {
			path: '/control/faults', schema: targetFaults.partial(), none: noTargetFaults,
		});
		this.settings = {...defaultTargetSettings, ...options};
		const {
			name, serviceMs, serviceShape, seed, reportLagMs, journalFile,
		} = this.settings;
		this.journal = journalFile === '' ? undefined : new LedgerJournal(journalFile);
		this.ledger = new Ledger(name, this.journal);
		this.coldStart = new ColdStart(this.settings);
		this.serviceTime = new ServiceTime(serviceMs, serviceShape, seed);
		this.reports = new ReportSampler(() => this.report(), () => this.clock.now(), reportLagMs);
	}

	/** Everything that this target did. */
	get dump(): LedgerDump {
		return this.ledger.dump();
	}

	/** Whether it is frozen with something to handle. */
	get hasHeldRequests(): boolean {
		return this.held > 0;
	}

	override async start(): Promise<void> {
		await super.start();
		this.reports.start();
	}

	override async stop(): Promise<void> {
		this.reports.stop();
		this.abortAll(AbortReason.Restarted);
		await super.stop();
		this.journal?.close();
	}

	override async setFaults(change: Partial<TargetFaults>): Promise<void> {
		await super.setFaults({...change, restartCold: false, chill: false});
		this.setFrozen(this.faults.frozen);
		if (change.restartCold) {
			this.restartCold();
		} else if (change.chill) {
			this.coldStart.reset();
		}
	}

	/** Restarts it: new incarnation, no grants, cold, everything running is lost. */
	restartCold(): void {
		this.incarnation = randomUUID();
		this.grants.clear();
		this.coldStart.reset();
		this.abortAll(AbortReason.Restarted);
		this.destroyActive();
	}

	protected override async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const arrived = this.clock.now();
		await this.waitForThaw();
		if (req.url!.startsWith(controlPrefix)) {
			await this.serveControl(req, res);
			return;
		}

		const body = await readBody(req);
		await this.waitForThaw();
		const entry = createLedgerEntry(req, this.incarnation, this.clock.now());
		const deadline = Math.min(
			arrived + readNumberHeader(req, 'x-timeout-ms', Number.POSITIVE_INFINITY),
			readNumberHeader(req, 'x-deadline', Number.POSITIVE_INFINITY),
		);
		this.serveOrder({
			entry, req, res, body, deadline,
		});
	}

	private async serveControl(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const url = new URL(req.url!, 'http://target');
		const route = `${req.method} ${url.pathname}`;
		switch (route) {
			case 'POST /control/grant': {
				await this.serveGrant(req, res);

				break;
			}

			case 'GET /control/health': {
				const {healthy, cold, incarnation} = this.reports.read();
				sendJson(res, 200, {healthy: this.faults.lieHealthy ?? healthy, cold, incarnation});

				break;
			}

			case 'GET /control/load': {
				const {running, slots} = this.reports.read();
				sendJson(res, 200, {running: this.faults.lieRunning ?? running, slots});

				break;
			}

			case 'GET /control/ledger': {
				sendJson(res, 200, this.ledger.dump(Number(url.searchParams.get('from') ?? 0)));

				break;
			}

			default: {
				sendJson(res, 404, {error: 'no such resource'});
			}
		}
	}

	private async serveGrant(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const grant = grantSchema.parse(await readJson(req));
		const now = this.clock.now();
		const isMine = grant.target === this.settings.name
			&& (grant.incarnation === '' || grant.incarnation === this.incarnation);
		const isApplied = isMine && this.grants.apply(grant, now);
		sendJson(res, 200, {
			accepted: isApplied || !this.settings.checksFences,
			incarnation: this.incarnation,
			tenure: this.grants.highestTenure,
			clock: now,
			running: this.running.size,
			cold: this.coldStart.warmUpProgress(now) < 1,
			shards: this.grants.count(now),
		});
	}

	private serveOrder(work: ReceivedOrder): void {
		const isLate = work.deadline <= work.entry.started || work.res.destroyed;
		const refusal = isLate
			? NotRunReason.Late
			: this.refusal(work);
		if (refusal === undefined) {
			this.run(work);
		} else {
			this.refuseOrder(work, refusal);
		}
	}

	/** Decides whether an order may begin now; counts what should not have been sent. */
	private refusal({entry}: ReceivedOrder): NotRunReason | undefined {
		const now = entry.started;
		if (!this.isGranted(entry, now)) {
			return NotRunReason.Fenced;
		}

		if (this.coldStart.hasFallenOver(now)) {
			return NotRunReason.Shed;
		}

		if (this.running.size >= this.settings.slots) {
			this.ledger.totals.slotViolations++;
		}

		if (this.running.size < this.coldStart.limit(now)) {
			return undefined;
		}

		this.addColdExcess(now);
		return NotRunReason.Shed;
	}

	private isGranted({pool, shard, fence}: LedgerEntry, now: number): boolean {
		return this.settings.kind === TargetKind.Shared
			|| !this.settings.checksFences
			|| this.grants.allows(pool, shard, fence, now);
	}

	private addColdExcess(now: number): void {
		if (this.coldStart.warmUpProgress(now) === 1) {
			return;
		}

		this.ledger.totals.coldViolations++;
		if (this.coldStart.recordExcess(now)) {
			this.ledger.totals.falls++;
			this.abortAll(AbortReason.FellOver);
		}
	}

	private refuseOrder({entry, res}: ReceivedOrder, reason: NotRunReason): void {
		this.ledger.refuse(entry, reason);
		res.setHeader('x-order-id', entry.order);
		const isFenced = reason === NotRunReason.Fenced;
		res.setHeader('x-not-run', isFenced ? NotRunReason.Fenced : NotRunReason.Shed);
		sendJson(res, isFenced ? 409 : 503, {error: reason});
	}

	private run(work: ReceivedOrder): void {
		this.running.add(work);
		this.ledger.begin(work.entry, this.running.size);
		work.res.once('close', () => {
			this.abort(work, AbortReason.Cancelled);
		});
		const serviceMs = this.serviceMs(work.entry.started);
		if (serviceMs === 0) {
			this.complete(work);
			return;
		}

		work.serviceTimer = setTimeout(() => {
			void this.completeThawed(work);
		}, serviceMs);
		const leftMs = work.deadline - work.entry.started;
		if (leftMs <= serviceMs) {
			work.timeoutTimer = setTimeout(() => {
				this.abort(work, AbortReason.Timeout);
			}, leftMs);
		}
	}

	private serviceMs(now: number): number {
		const coldness = 1 - this.coldStart.warmUpProgress(now);
		const coldFactor = 1 + (coldness * (this.settings.coldFactor - 1));
		return this.serviceTime.next() * this.faults.slowFactor * coldFactor;
	}

	private async completeThawed(work: ReceivedOrder): Promise<void> {
		await this.waitForThaw();
		const now = this.clock.now();
		if (now > work.deadline) {
			this.abort(work, AbortReason.Timeout);
		} else if (!this.isGranted(work.entry, now)) {
			this.abort(work, AbortReason.LostShard);
		} else if (this.running.has(work)) {
			this.complete(work);
		}
	}

	private complete(work: ReceivedOrder): void {
		const now = this.clock.now();
		this.leave(work);
		this.ledger.finish(work.entry, OrderEnd.Ran, '', now);
		this.coldStart.recordServed(now);
		this.answer(work);
	}

	private answer({entry, req, res, body}: ReceivedOrder): void {
		const {name, payloadBytes} = this.settings;
		const text = encodeAnswerBody({
			order: entry.order,
			request: entry.request,
			line: `${entry.method} ${entry.path}`,
			target: name,
			received: hashBody(body),
			payload: 'x'.repeat(payloadBytes),
		});
		if (this.faults.loseAnswer > 0) {
			this.faults.loseAnswer--;
			req.socket.destroy();
			return;
		}

		res.writeHead(200, {
			'content-type': 'application/json',
			'content-length': text.length,
			'x-order-id': entry.order,
		});
		if (this.faults.truncate > 0) {
			this.faults.truncate--;
			res.write(text.subarray(0, text.length / 2), () => {
				req.socket.destroy();
			});
			return;
		}

		res.end(text);
	}

	private abort(work: ReceivedOrder, reason: AbortReason): void {
		if (!this.running.has(work)) {
			return;
		}

		this.leave(work);
		this.ledger.finish(work.entry, OrderEnd.Aborted, reason, this.abortTime(work, reason));
		if (reason === AbortReason.Timeout && !this.faults.frozen) {
			work.res.setHeader('x-order-id', work.entry.order);
			work.res.setHeader('x-aborted', reason);
			sendJson(work.res, 504, {error: reason});
		} else {
			work.req.socket.destroy();
		}
	}

	/** Time from which an aborted order had no effect; a woken process notices it late. */
	private abortTime({deadline}: ReceivedOrder, reason: AbortReason): number {
		const now = this.clock.now();
		if (reason === AbortReason.Timeout) {
			return Math.min(now, deadline);
		}

		return reason === AbortReason.LostShard ? this.grants.expiredAt(now) : now;
	}

	private abortAll(reason: AbortReason): void {
		for (const work of this.running) {
			this.abort(work, reason);
		}
	}

	private leave(work: ReceivedOrder): void {
		clearTimers(work);
		this.running.delete(work);
	}

	private async waitForThaw(): Promise<void> {
		if (this.faults.frozen) {
			this.held++;
			await this.thaw;
			this.held--;
		}
	}

	private setFrozen(isFrozen: boolean): void {
		if (isFrozen && this.endFreeze === undefined) {
			this.thaw = new Promise(resolve => {
				this.endFreeze = resolve;
			});
		} else if (!isFrozen) {
			this.endFreeze?.();
			this.endFreeze = undefined;
		}
	}

	private report(): Report {
		const now = this.clock.now();
		return {
			healthy: !this.coldStart.hasFallenOver(now),
			cold: this.coldStart.warmUpProgress(now) < 1,
			running: this.running.size,
			slots: this.settings.slots,
			incarnation: this.incarnation,
		};
	}
}
