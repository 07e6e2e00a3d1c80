/** Largest number of teams with a label of their own in metrics. */
const maxLabels = 128;

/** Gives teams their label in metrics. */
export class TeamLabel {
	private readonly known = new Set<string>();

	/** Returns the name of the team, or `other` if there are too many. */
	of(team: string): string {
		if (!this.known.has(team)) {
			if (this.known.size >= maxLabels) {
				return 'other';
			}

			this.known.add(team);
		}

		return team;
	}
}
