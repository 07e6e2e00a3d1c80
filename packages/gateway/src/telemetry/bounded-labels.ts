/** Label of all names beyond the first ones. */
const otherLabel = 'other';

/** Values of a label, at most a fixed number, so that a long configuration does not create as many time series. */
export class BoundedLabels {
	private readonly names = new Set<string>();
	private readonly max: number;

	/** `max` is the number of names that get a label of their own; those that are seen first. */
	constructor(max: number) {
		this.max = max;
	}

	/** Returns the label of a name. */
	labelOf(name: string): string {
		if (this.names.size < this.max) {
			this.names.add(name);
		}

		return this.names.has(name) ? name : otherLabel;
	}
}
