import type {RequestRecord} from '../peer/generated/bluebellyard/RequestRecord.js';

/** Request ids that one incarnation of an instance knows. */
export type FetchedRequests = {
	/** Id of the incarnation whose memory holds the records. Another one has the address when the process there was restarted. */
	readonly instance: string;
	readonly records: readonly RequestRecord[];
};

/** Calls to one other instance by which the at-most-once guard stores and fetches request ids. */
export abstract class RequestIdPeer {
	/** Asks the peer to store ids as a backup for `instance`; resolves to whether it stored all of them. */
	abstract keepRequests(instance: string, records: readonly RequestRecord[], timeoutMs: number): Promise<boolean>;
	/** Asks the peer to remove the id of a request that did not run. */
	abstract dropRequest(instance: string, id: string, attempt: string, timeoutMs: number): Promise<void>;
	/** Resolves to the ids that the peer knows for shards of `instance`; undefined when the call fails or ids may be missing. */
	abstract fetchRequests(instance: string, shards: readonly string[], timeoutMs: number): Promise<FetchedRequests | undefined>;
}

/** The other instances, by their peer address. */
export abstract class RequestIdPeers {
	abstract get(addr: string): RequestIdPeer;
}
