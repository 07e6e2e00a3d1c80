import type {Clock, StopSchedule} from '@bluebellyard/core';
import type {Dispatcher} from './dispatch/index.js';
import type {CallerServer} from './front/index.js';
import {sleep, waitForPendingReads} from './net/index.js';
import type {PeerNet} from './peers/index.js';
import type {DispatchQueues} from './queue/index.js';
import type {Telemetry} from './telemetry/index.js';

/** Delay from the start of a stop until idle connections are closed, in milliseconds; by then the load balancer has noticed that the instance is not ready. */
const closeIdleDelayMs = 2200;

/** Interval between checks of requests during a stop, in milliseconds: whether any is open, and whether those that wait can still be answered. */
const stopCheckIntervalMs = 50;

/** Longest time for which the last answers are written, in milliseconds; shorter than what the schedule leaves until the end of the grace period. */
const lastAnswersMs = 150;

/** Options of a planned stop. */
export type PlannedStopOptions = {
	/** Time from the request to stop until the process may be killed, in milliseconds. */
	readonly graceMs: number;
	readonly schedule: StopSchedule;
	readonly callers: Pick<CallerServer, 'beginStop' | 'closeIdle' | 'connectionCount' | 'countConnections' | 'giveUp' | 'inFlight' | 'logOpenRequests'>;
	readonly dispatcher: Pick<Dispatcher, 'rejectLate'>;
	readonly queues: Pick<DispatchQueues, 'inFlight' | 'queued'>;
	readonly net: Pick<PeerNet, 'hasReplies'>;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Leaves the cluster. */
	readonly leave: () => void;
	/** Closes all connections and ports. */
	readonly close: () => Promise<void>;
};

/** The stop of an instance, from the request to stop until everything is closed. */
export class PlannedStop {
	private readonly options: PlannedStopOptions;
	private isBegun = false;
	private ended: Promise<void> | undefined;

	constructor(options: PlannedStopOptions) {
		this.options = options;
	}

	/** Whether the stop was asked for. */
	get hasBegun(): boolean {
		return this.isBegun;
	}

	/** Leaves the cluster, waits for open requests to end and closes, all within the grace period. Resolves at the end of the stop, also if it is called again. */
	async run(): Promise<void> {
		this.isBegun = true;
		this.ended ??= this.runOnce();
		return this.ended;
	}

	private async runOnce(): Promise<void> {
		const {
			schedule, callers, dispatcher, queues, net, clock, telemetry, graceMs, leave, close,
		} = this.options;
		const startedAt = clock.now();
		telemetry.info('gateway', 'Stopping.', {
			inFlight: callers.inFlight, queued: queues.queued, graceMs, ...callers.countConnections(),
		});
		schedule.begin(graceMs);
		callers.beginStop();
		dispatcher.rejectLate();
		const rejections = setInterval(() => {
			dispatcher.rejectLate();
		}, stopCheckIntervalMs);
		leave();
		// A short grace period leaves time for the answers of requests that arrive before idle connections are closed.
		await sleep(Math.min(closeIdleDelayMs, (schedule.endsAt - startedAt) / 2));
		telemetry.info('gateway', 'Closing idle connections of callers.', callers.countConnections());
		await callers.closeIdle();
		await this.waitUntil(schedule.endsAt, () => callers.connectionCount + queues.inFlight + queues.queued === 0 && !net.hasReplies);
		clearInterval(rejections);
		// Answers of targets may have arrived while the event loop was late.
		await waitForPendingReads();
		callers.logOpenRequests('Request is given up at the end of the stop.');
		callers.giveUp();
		await this.waitUntil(clock.now() + lastAnswersMs, () => callers.inFlight === 0);
		callers.logOpenRequests('Request was not answered before the end of the stop.');
		telemetry.info('gateway', 'Stopped.', {
			unanswered: callers.inFlight, tookMs: Math.round(clock.now() - startedAt), ...callers.countConnections(),
		});
		await close();
	}

	/** Resolves when a condition is met, or at a time in monotonic milliseconds. */
	private async waitUntil(end: number, isMet: () => boolean): Promise<void> {
		while (this.options.clock.now() < end && !isMet()) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(stopCheckIntervalMs);
		}
	}
}
