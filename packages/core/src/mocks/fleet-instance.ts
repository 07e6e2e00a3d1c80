import {AllowanceMeter, type AllowanceController, type TeamCeiling} from '../teams/index.js';

/** What the leader knows of an instance that it pings. */
export type FleetFollower = {sentAt: number; nextAt: number; inFlightUntil: number; version: number};

/** State of an instance that leads. */
export type FleetLeading = {
	readonly term: number;
	readonly controller: AllowanceController;
	ceilings: readonly TeamCeiling[];
	version: number;
	readonly followers: Map<string, FleetFollower>;
};

/** An instance of a played fleet. */
export class FleetInstance {
	readonly domain: number;
	readonly offset: number;
	weight: number;
	meter: AllowanceMeter;
	incarnation = 1;
	isUp = true;
	term = 1;
	heardAt: number;
	isLowered = false;
	ceilings: readonly TeamCeiling[] = [];
	leading: FleetLeading | undefined;

	constructor(readonly name: string, {domain, offset, weight, now}: {domain: number; offset: number; weight: number; now: number}, private readonly random: () => number) {
		this.domain = domain;
		this.offset = offset;
		this.weight = weight;
		this.meter = new AllowanceMeter(random);
		this.heardAt = now === 0 ? offset : Number.NEGATIVE_INFINITY;
	}

	/** Begins a new run of the process. */
	restart(): void {
		this.meter = new AllowanceMeter(this.random);
		this.incarnation += 1;
		this.isUp = true;
		this.ceilings = [];
		this.leading = undefined;
		this.heardAt = Number.NEGATIVE_INFINITY;
	}
}
