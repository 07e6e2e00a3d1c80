import type {PeerClient} from '../peer/index.js';

/** Encoded tables of a peer, with the offset up to which they are folded. */
export type PeerState = {
	readonly folded: number;
	readonly tables: string;
};

/** Returns the state with the highest offset among the peers that answer within `timeoutMs`; undefined when none has a state. */
export async function fetchNewestState(peers: ReadonlyArray<Pick<PeerClient, 'fetchState'>>, timeoutMs: number): Promise<PeerState | undefined> {
	const answers = await Promise.all(peers.map(async peer => peer.fetchState(timeoutMs)));
	const states = answers.filter(state => state !== undefined);
	return states.toSorted((a, b) => b.folded - a.folded).at(0);
}
