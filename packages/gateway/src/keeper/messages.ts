/**
 * Messages between instances about the lead and the view.
 */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Packr} from 'msgpackr';
import type {Delta, NodeInfo} from '../view/index.js';

/** Operations that an instance answers. */
export enum PeerOp {
	/** The leader tells what changed. */
	Ping = 'ping',
	/** An instance asks another one whom it hears. */
	Ask = 'ask',
	/** An instance that started shows itself. */
	Hello = 'hello',
	/** The leader stops and names this instance its successor. */
	Succeed = 'succeed',
	/** A target says that it does not hold a key that it was granted. */
	Disowned = 'disowned',
	/** A request for a desk of this instance. */
	Work = 'work',
}

/** What the leader sends, beside the changes of the view. */
export type Ping = {
	readonly term: number;
	readonly leader: NodeInfo;
	/** Time since the leader last read the store, in milliseconds. */
	readonly storeAgeMs: number;
	/** Sequence number that the delta is based on. */
	readonly base: number;
	/** Sequence number after the delta. */
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
	/** Sequence number up to which it has the leader's view; -1 to get everything. */
	readonly seq: number;
	readonly report: Report;
};

/** Whom an instance hears. */
export type AskReply = {
	readonly term: number;
	readonly isLeader: boolean;
	/** Time since it heard the leader, in milliseconds. */
	readonly heardAgeMs: number;
	/** Time since its leader read the store, as last told. */
	readonly storeAgeMs: number;
};

/** A key that its owner does not hold. */
export type Disowned = {
	readonly service: string;
	readonly owner: string;
	readonly key: number;
};

/** Largest view, in bytes: a configuration with thousands of routes fits many times. */
const maxDeltaBytes = 64 * 1024 * 1024;

const packr = new Packr({useRecords: false, moreTypes: false});
const noBytes = Buffer.alloc(0);

/** Changes as bytes, the same for all followers at one sequence number; empty when nothing changed. */
export function packDelta(delta: Delta): Buffer {
	const isEmpty = !delta.isFull && delta.set.length === 0 && delta.gone.length === 0;
	return isEmpty ? noBytes : deflateRawSync(packr.pack(delta), {level: 1});
}

/** Reads what `packDelta` wrote; undefined when nothing changed. */
export function unpackDelta(bytes: Buffer): Delta | undefined {
	return bytes.length === 0 ? undefined : packr.unpack(inflateRawSync(bytes, {maxOutputLength: maxDeltaBytes})) as Delta;
}
