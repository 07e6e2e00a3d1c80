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

/** Why an order was refused. */
export enum NotRunReason {
	/** The fence is unknown or stale, or the lease has expired. */
	Fenced = 'fenced',
	/** The target is overloaded. */
	Shed = 'shed',
	/** The connection was closed or the deadline passed before the order could start. */
	Late = 'late',
}

const controlPrefix = '/control/';

/** Stand-in for a target: a server that runs orders for the router. */
export class Target extends HttpStandIn<TargetFaults> {
	/** Id of this incarnation. A restart changes it. */
	incarnation: string = randomUUID();
	private readonly settings: TargetSettings;
	private readonly journal: LedgerJournal | undefined;
	private readonly ledger: Ledger;
	private readonly grants = new Grants();
	private readonly coldStart: ColdStart;
	private readonly serviceTime: ServiceTime;
	private readonly reports: ReportSampler;
	private readonly running = new Set<ReceivedOrder>();
	private heldCount = 0;
	private unfrozen = Promise.resolve();
	private resolveUnfrozen: (() => void) | undefined;

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
		this.reports = new ReportSampler(() => this.createReport(), () => this.clock.now(), reportLagMs);
	}

	/** Ledger of all orders that this target received. */
	get dump(): LedgerDump {
		return this.ledger.dump();
	}

	/** Whether any request is waiting because the target is frozen. */
	get hasHeldRequests(): boolean {
		return this.heldCount > 0;
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

	/** Restarts the target: it gets a new incarnation, loses its grants and running orders, and is cold. */
	restartCold(): void {
		this.incarnation = randomUUID();
		this.grants.clear();
		this.coldStart.reset();
		this.abortAll(AbortReason.Restarted);
		this.destroyActive();
	}

	protected override async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const arrivedAt = this.clock.now();
		await this.waitUntilUnfrozen();
		if (req.url!.startsWith(controlPrefix)) {
			await this.handleControl(req, res);
			return;
		}

		const body = await readBody(req);
		await this.waitUntilUnfrozen();
		const entry = createLedgerEntry(req, this.incarnation, this.clock.now());
		const deadline = Math.min(
			arrivedAt + readNumberHeader(req, 'x-timeout-ms', Number.POSITIVE_INFINITY),
			readNumberHeader(req, 'x-deadline', Number.POSITIVE_INFINITY),
		);
		this.handleOrder({
			entry, req, res, body, deadline,
		});
	}

	private async handleControl(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const url = new URL(req.url!, 'http://target');
		const route = `${req.method} ${url.pathname}`;
		switch (route) {
			case 'POST /control/grant': {
				await this.handleGrant(req, res);

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

	private async handleGrant(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const grant = grantSchema.parse(await readJson(req));
		const now = this.clock.now();
		const isForThisTarget = grant.target === this.settings.name
			&& (grant.incarnation === '' || grant.incarnation === this.incarnation);
		const isApplied = isForThisTarget && this.grants.apply(grant, now);
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

	private handleOrder(order: ReceivedOrder): void {
		const isLate = order.deadline <= order.entry.started || order.res.destroyed;
		const refusal = isLate
			? NotRunReason.Late
			: this.findRefusalReason(order);
		if (refusal === undefined) {
			this.run(order);
		} else {
			this.refuseOrder(order, refusal);
		}
	}

	/** Returns why an order may not start now, or `undefined` if it may. Counts orders that should not have been sent. */
	private findRefusalReason({entry}: ReceivedOrder): NotRunReason | undefined {
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

		this.recordColdExcess(now);
		return NotRunReason.Shed;
	}

	private isGranted({pool, shard, fence}: LedgerEntry, now: number): boolean {
		return this.settings.kind === TargetKind.Shared
			|| !this.settings.checksFences
			|| this.grants.allows(pool, shard, fence, now);
	}

	private recordColdExcess(now: number): void {
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

	private run(order: ReceivedOrder): void {
		this.running.add(order);
		this.ledger.begin(order.entry, this.running.size);
		order.res.once('close', () => {
			this.abort(order, AbortReason.Cancelled);
		});
		const serviceMs = this.computeServiceMs(order.entry.started);
		if (serviceMs === 0) {
			this.complete(order);
			return;
		}

		order.serviceTimer = setTimeout(() => {
			void this.completeWhenUnfrozen(order);
		}, serviceMs);
		const leftMs = order.deadline - order.entry.started;
		if (leftMs <= serviceMs) {
			order.timeoutTimer = setTimeout(() => {
				this.abort(order, AbortReason.Timeout);
			}, leftMs);
		}
	}

	private computeServiceMs(now: number): number {
		const coldShare = 1 - this.coldStart.warmUpProgress(now);
		const coldFactor = 1 + (coldShare * (this.settings.coldFactor - 1));
		return this.serviceTime.next() * this.faults.slowFactor * coldFactor;
	}

	private async completeWhenUnfrozen(order: ReceivedOrder): Promise<void> {
		await this.waitUntilUnfrozen();
		const now = this.clock.now();
		if (now > order.deadline) {
			this.abort(order, AbortReason.Timeout);
		} else if (!this.isGranted(order.entry, now)) {
			this.abort(order, AbortReason.LostShard);
		} else if (this.running.has(order)) {
			this.complete(order);
		}
	}

	private complete(order: ReceivedOrder): void {
		const now = this.clock.now();
		this.removeRunning(order);
		this.ledger.finish(order.entry, OrderEnd.Ran, '', now);
		this.coldStart.recordServed(now);
		this.sendAnswer(order);
	}

	private sendAnswer({entry, req, res, body}: ReceivedOrder): void {
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

	private abort(order: ReceivedOrder, reason: AbortReason): void {
		if (!this.running.has(order)) {
			return;
		}

		this.removeRunning(order);
		this.ledger.finish(order.entry, OrderEnd.Aborted, reason, this.computeAbortTime(order, reason));
		if (reason === AbortReason.Timeout && !this.faults.frozen) {
			order.res.setHeader('x-order-id', order.entry.order);
			order.res.setHeader('x-aborted', reason);
			sendJson(order.res, 504, {error: reason});
		} else {
			order.req.socket.destroy();
		}
	}

	/**
	 * Returns the time from which an aborted order had no effect. It may be earlier
	 * than now, because a process that was frozen notices the abort late.
	 */
	private computeAbortTime({deadline}: ReceivedOrder, reason: AbortReason): number {
		const now = this.clock.now();
		if (reason === AbortReason.Timeout) {
			return Math.min(now, deadline);
		}

		return reason === AbortReason.LostShard ? this.grants.expiredAt(now) : now;
	}

	private abortAll(reason: AbortReason): void {
		for (const order of this.running) {
			this.abort(order, reason);
		}
	}

	private removeRunning(order: ReceivedOrder): void {
		clearTimers(order);
		this.running.delete(order);
	}

	private async waitUntilUnfrozen(): Promise<void> {
		if (this.faults.frozen) {
			this.heldCount++;
			await this.unfrozen;
			this.heldCount--;
		}
	}

	private setFrozen(isFrozen: boolean): void {
		if (isFrozen && this.resolveUnfrozen === undefined) {
			this.unfrozen = new Promise(resolve => {
				this.resolveUnfrozen = resolve;
			});
		} else if (!isFrozen) {
			this.resolveUnfrozen?.();
			this.resolveUnfrozen = undefined;
		}
	}

	private createReport(): Report {
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
