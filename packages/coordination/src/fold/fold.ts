/** Decision of a fold on one record. */
export type FoldVerdict = {
	readonly accepted: boolean;
	/** Why the record was not accepted. */
	readonly reason?: string;
	/** Id that the writer assigned to the record. */
	readonly id?: string;
	/** Whether the record does not belong to this fold, for example because it is not JSON or has an unknown version. */
	readonly foreign?: boolean;
};

/**
 * Folds log records into a state. It must be deterministic: the same records in
 * the same order produce the same state and verdicts in every process. It must
 * not read a clock, and a record that it does not understand must not change
 * the state.
 */
export abstract class Fold<State> {
	/** Returns the state before the first record. */
	abstract initial(): State;

	/** Applies one record to `state`, in place. */
	abstract apply(state: State, offset: number, data: string): FoldVerdict;

	/** Serializes a state for snapshots and peers. Equal states must produce equal texts. */
	abstract encode(state: State): string;

	/** Parses a serialized state. Throws if the text is invalid. */
	abstract decode(text: string): State;
}
