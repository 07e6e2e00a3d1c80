import type {RequestRecord} from '../peer/generated/bluebellyard/RequestRecord.js';

/** What the guard of request ids asks of one other instance. */
export abstract class RequestIdPeer {
	/** Has the instance keep an id on behalf of `instance`; whether it does. */
	abstract keepRequests(instance: string, records: readonly RequestRecord[], timeoutMs: number): Promise<boolean>;
	/** Asks it to drop the id of a request that did not run. */
	abstract dropRequest(instance: string, id: string, attempt: string, timeoutMs: number): Promise<void>;
	/** Ids that it knows for shards of `instance`; undefined when it can't be asked or some may be missing. */
	abstract fetchRequests(instance: string, shards: readonly string[], timeoutMs: number): Promise<readonly RequestRecord[] | undefined>;
}

/** The other instances, by their address for peers. */
export abstract class RequestIdPeers {
	abstract get(addr: string): RequestIdPeer;
}
