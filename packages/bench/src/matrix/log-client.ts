import {ControlKind, encodeControl} from '@bluebellyard/coordination';
import {encodeRecord, type LogRecord} from '@bluebellyard/core';
import type {FakeLog} from './fake-log.js';
import type {SimulatedInstance} from './simulated-instance.js';
import type {Rng} from './rng.js';

const timeoutMs = 600;
/** Between two markers after a lost answer. */
const markerMs = 200;
/** Time after which it is given up to learn what became of a record. */
const giveUpMs = 3000;

/** Tells the writer of a record whether it was accepted. */
type Told = (isAccepted: boolean) => void;

/** The way of one host to the log: calls, appends, and what became of them. */
export class LogClient {
	private readonly host: SimulatedInstance;
	private readonly rng: Rng;
	private readonly pending = new Set<string>();
	/** Record ids by the marker after which they count as missing. */
	private readonly doubts = new Map<string, string>();
	private readonly writers = new Map<string, Told>();

	constructor(host: SimulatedInstance, rng: Rng) {
		this.host = host;
		this.rng = rng;
	}

	/** Calls the log. */
	call<T>(handle: (log: FakeLog) => T, done: (answer: T) => void, failed: (mayHaveRun: boolean) => void, mayRepeat = false): void {
		const {node: site, context: around} = this.host;
		around.network.call({
			from: site, to: around.logNode, timeoutMs, mayDuplicate: mayRepeat, handle: () => handle(around.log), onAnswer: done, onFailure: failed,
		});
	}

	/** Appends a record; `isHasty` tells the writer at the answer of the log, before it is read back. */
	append(record: LogRecord, told?: Told, isHasty = false): void {
		const {id} = record;
		const data = encodeRecord(record);
		this.pending.add(id);
		if (told !== undefined) {
			this.writers.set(id, told);
		}

		this.call(log => log.append(data), () => {
			if (isHasty) {
				this.tell(id, true);
			}
		}, mayHaveRun => {
			this.appendFailed(id, mayHaveRun);
		}, true);
		this.host.node.schedule(giveUpMs, () => {
			this.unresolved(id);
		});
	}

	/** A record was read back. */
	handleReadBack(id: string, isAccepted: boolean): void {
		this.pending.delete(id);
		this.tell(id, isAccepted);
	}

	/** A marker was read. */
	handleMarker(marker: string): void {
		const id = this.doubts.get(marker) ?? '';
		this.doubts.delete(marker);
		this.unresolved(id);
	}

	/** Records may have been passed over. */
	abandonPending(): void {
		for (const id of this.pending) {
			this.unresolved(id);
		}
	}

	private appendFailed(id: string, mayHaveRun: boolean): void {
		if (mayHaveRun) {
			this.lookFor(id);
			return;
		}

		this.pending.delete(id);
		this.host.member?.handleAppendRefused(id);
		this.tell(id, false);
	}

	/** Appends markers until the record, or a marker after it, was read. */
	private lookFor(id: string): void {
		if (!this.pending.has(id)) {
			return;
		}

		const marker = `${this.host.name}:${this.rng.float()}`;
		this.doubts.set(marker, id);
		const ignore = () => undefined;
		this.call(log => log.append(encodeControl({kind: ControlKind.Marker, id: marker})), ignore, ignore);
		this.host.node.schedule(markerMs, () => {
			this.lookFor(id);
		});
	}

	private unresolved(id: string): void {
		if (this.pending.delete(id)) {
			this.host.member?.handleAppendInDoubt(id);
			this.writers.delete(id);
		}
	}

	private tell(id: string, isAccepted: boolean): void {
		this.writers.get(id)?.(isAccepted);
		this.writers.delete(id);
	}
}
