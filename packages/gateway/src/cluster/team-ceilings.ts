import {AllowanceController, type Clock, type TeamUseReport} from '@bluebellyard/core';
import type {Telemetry} from '../telemetry/index.js';
import {ceilingPart, type View} from '../view/index.js';
import type {Leadership} from './leader-record.js';
import type {TeamCeilingsReply, TeamUseMessage} from './messages.js';

/** Change of a ceiling that is logged, as a share; a ceiling changes up to five times a second. */
const loggedChange = 0.25;

/** Options of `TeamCeilings`. */
export type TeamCeilingsOptions = {
	readonly view: View;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
};

/** Part of the leader that divides the rate limits of teams between the instances. */
export class TeamCeilings {
	private readonly controller: AllowanceController;

	constructor(private readonly options: TeamCeilingsOptions) {
		this.controller = new AllowanceController(options.view.teamCeilings, options.clock.now());
	}

	/** Records the report of an instance; undefined if it has admitted nothing of a team, or is of an earlier version. */
	record(instance: string, incarnation: string, report: TeamUseReport | undefined): void {
		const now = this.options.clock.now();
		if (report === undefined) {
			this.controller.recordContact(instance, incarnation, now);
		} else {
			this.controller.record(instance, incarnation, report, now);
		}
	}

	/** Records a report out of turn and returns the ceilings in force. */
	handle({instance, incarnation, report}: TeamUseMessage, leadership: Leadership): TeamCeilingsReply {
		this.record(instance, incarnation, report);
		const {era, term} = leadership;
		return {era, term, ceilings: [...this.options.view.teamCeilings]};
	}

	/** Publishes the ceilings that are due. */
	update(): void {
		const {view, clock, telemetry} = this.options;
		const before = view.teamCeilings;
		const ceilings = this.controller.tick(view.teams, view.nodes().map(({name}) => name), clock.now());
		view.replacePrefix(`${ceilingPart}/`, new Map(ceilings.map(([team, perSecond]) => [`${ceilingPart}/${team}`, perSecond])));
		for (const [team, perSecond] of ceilings) {
			const known = before.get(team) ?? 0;
			if (Math.abs(perSecond - known) > known * loggedChange) {
				telemetry.trace('teams', 'The ceiling of a team changed.', {team, perSecond, before: before.get(team)});
			}
		}

		for (const {team, isPressing, demand} of this.controller.takeChanges()) {
			telemetry.trace('teams', isPressing ? 'A team presses against its limit.' : 'A team no longer presses against its limit.', {team, demand});
		}
	}
}
