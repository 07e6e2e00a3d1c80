/** A set of listeners for one kind of event. */
export class Listeners<Args extends readonly unknown[]> {
	private readonly all = new Set<(...args: Args) => void>();

	/** Adds a listener and returns the function that removes it. */
	add(listener: (...args: Args) => void): () => void {
		this.all.add(listener);
		return () => {
			this.all.delete(listener);
		};
	}

	/** Calls all listeners in the order they were added. */
	emit(...args: Args): void {
		for (const listener of this.all) {
			listener(...args);
		}
	}
}
