import {ControlKind, encodeControl} from '@bluebellyard/coordination';
import {encodeRecord, type LogRecord} from '@bluebellyard/core';
import type {FakeLog} from './fake-log.js';
import type {SimulatedInstance} from './simulated-instance.js';
import type {Rng} from './rng.js';

const callTimeoutMs = 600;
/** Interval between markers while the outcome of an append is unknown. */
const markerIntervalMs = 200;
/** Time after which an append whose record was not read back is treated as in doubt. */
const resolveTimeoutMs = 3000;

/** Notifies the writer of a record whether it was accepted. */
type AcceptanceCallback = (isAccepted: boolean) => void;

/** Log client of one instance. Appends records and determines whether they were accepted. */
export class LogClient {
	private readonly instance: SimulatedInstance;
	private readonly rng: Rng;
	/** Ids of appended records that were not read back yet. */
	private readonly pending = new Set<string>();
	/** Record id by marker; a record that was not read before its marker is missing from the log. */
	private readonly recordIdByMarker = new Map<string, string>();
	private readonly callbacks = new Map<string, AcceptanceCallback>();

	constructor(instance: SimulatedInstance, rng: Rng) {
		this.instance = instance;
		this.rng = rng;
	}

	/** Calls the log service. */
	call<T>(handle: (log: FakeLog) => T, onAnswer: (answer: T) => void, onFailure: (mayHaveRun: boolean) => void, mayDuplicate = false): void {
		const {node, context} = this.instance;
		context.network.call({
			from: node, to: context.logNode, timeoutMs: callTimeoutMs, mayDuplicate, handle: () => handle(context.log), onAnswer, onFailure,
		});
	}

	/** Appends a record. With `shouldNotifyEarly` the writer is notified when the log answers, before the record is read back. */
	append(record: LogRecord, onResult?: AcceptanceCallback, shouldNotifyEarly = false): void {
		const {id} = record;
		const data = encodeRecord(record);
		this.pending.add(id);
		if (onResult !== undefined) {
			this.callbacks.set(id, onResult);
		}

		this.call(log => log.append(data), () => {
			if (shouldNotifyEarly) {
				this.notifyWriter(id, true);
			}
		}, mayHaveRun => {
			this.handleAppendFailure(id, mayHaveRun);
		}, true);
		this.instance.node.schedule(resolveTimeoutMs, () => {
			this.abandon(id);
		});
	}

	/** Handles a record that was read from the log. */
	handleReadBack(id: string, isAccepted: boolean): void {
		this.pending.delete(id);
		this.notifyWriter(id, isAccepted);
	}

	/** Handles a marker that was read from the log: a record still pending after its marker is missing. */
	handleMarker(marker: string): void {
		const id = this.recordIdByMarker.get(marker) ?? '';
		this.recordIdByMarker.delete(marker);
		this.abandon(id);
	}

	/** Treats all pending appends as in doubt, because the tables were replaced and records may have been skipped. */
	abandonPending(): void {
		for (const id of this.pending) {
			this.abandon(id);
		}
	}

	private handleAppendFailure(id: string, mayHaveRun: boolean): void {
		if (mayHaveRun) {
			this.appendMarkers(id);
			return;
		}

		this.pending.delete(id);
		this.instance.member?.handleAppendRefused(id);
		this.notifyWriter(id, false);
	}

	/** Appends markers until the record or one of the markers was read. */
	private appendMarkers(id: string): void {
		if (!this.pending.has(id)) {
			return;
		}

		const marker = `${this.instance.name}:${this.rng.float()}`;
		this.recordIdByMarker.set(marker, id);
		const ignore = () => undefined;
		this.call(log => log.append(encodeControl({kind: ControlKind.Marker, id: marker})), ignore, ignore);
		this.instance.node.schedule(markerIntervalMs, () => {
			this.appendMarkers(id);
		});
	}

	private abandon(id: string): void {
		if (this.pending.delete(id)) {
			this.instance.member?.handleAppendInDoubt(id);
			this.callbacks.delete(id);
		}
	}

	private notifyWriter(id: string, isAccepted: boolean): void {
		this.callbacks.get(id)?.(isAccepted);
		this.callbacks.delete(id);
	}
}
