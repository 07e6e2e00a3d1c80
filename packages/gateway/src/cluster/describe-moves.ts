import type {EligibleOwner, KeyMove} from '@bluebellyard/core';

/** Largest number of moves that a log line lists. */
const maxLoggedMoves = 8;

/** Returns moves and the capacities of their new owners as fields of a log line. */
export function describeMoves(moves: readonly KeyMove[], owners: readonly EligibleOwner[]): Record<string, unknown> {
	const capacities = new Map(owners.map(({id, capacity}) => [id, capacity]));
	const logged = moves.slice(0, maxLoggedMoves);
	return {
		moves: logged.map(({from, to, owner}) => `${from}-${to}>${owner}`),
		capacities: logged.map(({owner}) => Math.round((capacities.get(owner) ?? 0) * 100) / 100),
		count: moves.length,
	};
}
