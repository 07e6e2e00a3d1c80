/**
 * Messages between instances about the lead and the view.
 */
import type {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Packr} from 'msgpackr';
import {noBytes} from '../peers/index.js';
import type {Delta, NodeInfo} from '../view/index.js';

/** Operations that an instance answers. */
export enum PeerOp {
	/** The leader tells what changed. */
	Ping = 'ping',
	/** An instance asks another one whom it hears. */
	QueryLeader = 'ask',
	/** An instance that started shows itself. */
	Hello = 'hello',
	/** The leader stops and names this instance its successor. */
	TakeOver = 'succeed',
	/** A target says that it does not hold a key that it was granted. */
	Disowned = 'disowned',
	/** A request for a desk of this instance. */
	Request = 'work',
}

/** A state of the view: that of one leader after one of its changes. */
export type ViewState = {
	readonly term: number;
	/** Sequence number at that leader. */
	readonly seq: number;
};

/** What the leader sends, beside the changes of the view. */
export type Ping = {
	readonly term: number;
	readonly leader: NodeInfo;
	/** Time since the leader last read the store, in milliseconds. */
	readonly storeAgeMs: number;
	/** State that the changes are based on; undefined when they are everything, or when there are none. */
	readonly base: ViewState | undefined;
	/** Sequence number after the changes. */
	readonly seq: number;
};

/** What an instance measured since its last report. */
export type Report = {
	/** For each service pairs of key and work in milliseconds, flat. */
	readonly keys: Readonly<Record<string, readonly number[]>>;
	/** Lasting slowness of targets that it sends work to. */
	readonly slowness: ReadonlyArray<readonly [target: string, factor: number]>;
	readonly isLeaving: boolean;
};

/** Answer to a ping. */
export type Pong = {
	readonly term: number;
	readonly incarnation: string;
	/** State of its view; undefined when it is none that a leader ever told. */
	readonly viewState: ViewState | undefined;
	readonly report: Report;
};

/** Whom an instance hears. */
export type LeaderQueryReply = {
	readonly term: number;
	readonly isLeader: boolean;
	/** Time since it heard the leader, in milliseconds. */
	readonly heardAgeMs: number;
	/** Time since its leader read the store, as last told. */
	readonly storeAgeMs: number;
};

/** A key that its owner does not hold. */
export type NotOwnerReport = {
	readonly service: string;
	readonly owner: string;
	readonly key: number;
};

/** Largest view, in bytes: a configuration with thousands of routes fits many times. */
const maxDeltaBytes = 64 * 1024 * 1024;

const packr = new Packr({useRecords: false, moreTypes: false});

/** Changes as bytes, the same for all followers at one sequence number; empty when nothing changed. */
export function packDelta(delta: Delta): Buffer {
	const isEmpty = !delta.isFull && delta.set.length === 0 && delta.gone.length === 0;
	return isEmpty ? noBytes : deflateRawSync(packr.pack(delta), {level: 1});
}

/** Reads what `packDelta` wrote; undefined when nothing changed. */
export function unpackDelta(bytes: Buffer): Delta | undefined {
	return bytes.length === 0 ? undefined : packr.unpack(inflateRawSync(bytes, {maxOutputLength: maxDeltaBytes})) as Delta;
}

/** Whether two states are the same. */
export function isSameState(a: ViewState | undefined, b: ViewState | undefined): boolean {
	return a !== undefined && a.term === b?.term && a.seq === b.seq;
}
