import {z} from 'zod';

/** Role of a member. */
export enum MemberRole {
	Target = 'target',
	Instance = 'instance',
}

/** Lifecycle state of a member. */
export enum MemberState {
	Live = 'live',
	Leaving = 'leaving',
}

/** Schema of one entry of the membership list. */
export const memberSchema = z.object({
	role: z.enum(MemberRole),
	name: z.string().min(1),
	/** Failure domain. */
	domain: z.string().min(1),
	/** Pool of a target; empty for an instance. */
	pool: z.string(),
	/** Address as `ip:port`. */
	addr: z.string().min(1),
	state: z.enum(MemberState),
});

/** One entry of the membership list. */
export type Member = z.infer<typeof memberSchema>;
