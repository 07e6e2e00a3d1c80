import {
	TeamLimits, type Team, type TeamPermit, type TeamPermitDecision,
} from '@bluebellyard/core';

/** Time until a team has room again, as the limits report it, in milliseconds. */
const retryAfterMs = 340;

/** Limits with a fixed number of permits for all teams together. */
export class CountedLimits extends TeamLimits {
	/** Permits left. */
	left: number;
	/** Teams whose requests were decided about. */
	readonly asked: string[] = [];

	constructor(permits: number) {
		super();
		this.left = permits;
	}

	override admit({name}: Team): TeamPermitDecision {
		this.asked.push(name);
		if (this.left === 0) {
			return {permit: undefined, retryAfterMs};
		}

		this.left -= 1;
		return {permit: {team: name}};
	}

	override giveBack(_permit: TeamPermit): void {
		this.left += 1;
	}
}
