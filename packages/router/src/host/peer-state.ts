import type {PeerClient} from '../peer/index.js';

/** Folded tables of a peer, in their text form. */
export type PeerState = {
	readonly folded: number;
	readonly tables: string;
};

/** The newest state among those of the peers that answer in time; undefined when none has one. */
export async function fetchNewestState(peers: ReadonlyArray<Pick<PeerClient, 'fetchState'>>, timeoutMs: number): Promise<PeerState | undefined> {
	const answers = await Promise.all(peers.map(async peer => peer.fetchState(timeoutMs)));
	const states = answers.filter(state => state !== undefined);
	return states.toSorted((one, other) => other.folded - one.folded).at(0);
}
