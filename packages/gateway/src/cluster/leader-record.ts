import {z} from 'zod';

/**
 * Identifies a leadership; a later one has a higher era, or a higher term in the same era. A leader that claims the
 * lead again in a new era keeps its term.
 */
export type Leadership = {
	/** Era of the store in which it was last claimed; see `TopicEnd`. */
	readonly era: number;
	/** Increases with each change of the leader. */
	readonly term: number;
};

/** Leader as recorded in the store. */
export type LeaderRecord = Leadership & {
	readonly name: string;
	readonly incarnation: string;
	/** Names of other instances whose grants may not have expired yet. */
	readonly formers: readonly string[];
	/** Whether the recorded owners may be older than what was granted, because the store returned from a copy. */
	readonly isRecovering: boolean;
};

/** Schema of the stored record; records without an era are of versions that did not know it. */
export const leaderRecordSchema = z.object({
	era: z.number().int().default(0),
	term: z.number().int(),
	name: z.string(),
	incarnation: z.string(),
	formers: z.array(z.string()).default([]),
	isRecovering: z.boolean().default(false),
});

/** Compares two leaderships as for sorting: positive if `a` is the later one. */
export function compareLeaderships(a: Leadership, b: Leadership): number {
	return a.era === b.era ? a.term - b.term : a.era - b.era;
}
