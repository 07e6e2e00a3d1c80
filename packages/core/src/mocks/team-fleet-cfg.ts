import type {Team} from '../teams/index.js';

/** What goes wrong during a play. */
export enum FleetFault {
	None = 'none',
	/** Reports and publications that are lost, late or repeated. */
	BadLinks = 'bad-links',
	/** The leader ends; another instance leads some seconds later. */
	LostLeader = 'lost-leader',
	/** The instances of one domain, perhaps with the leader, are cut off from the others. */
	Partition = 'partition',
	/** Instances end and start again one after another. */
	Restarts = 'restarts',
	/** New instances join. */
	Joins = 'joins',
	/** The configuration lowers the limit to half. */
	LoweredLimit = 'lowered-limit',
}

/** One play. Times are milliseconds. */
export type TeamFleetCfg = {
	readonly seed: number;
	readonly instances: number;
	readonly team: Team;
	readonly fault: FleetFault;
	readonly faultAt: number;
	readonly durationMs: number;
	/** Returns the demand in multiples of the limit in force. */
	readonly demandAt: (at: number) => number;
	/** Time at which the demand moves to other instances. */
	readonly shiftAt?: number;
};

/** What was played, by steps of `stepMs`. */
export type TeamFleetResult = {
	readonly offered: readonly number[];
	/** Requests that ran; those whose permit was given back are not among them. */
	readonly run: readonly number[];
	/** Time at which all instances knew the lowered limit. */
	readonly loweredAt: number;
	readonly refused: number;
	readonly messages: number;
};

/** Length of a step, in milliseconds. */
export const stepMs = 5;
