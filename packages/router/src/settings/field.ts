/**
 * One key of the settings: how it is read, what it means and what is said when it is wrong.
 */
import {z} from 'zod';

/** What the pages and messages say about a key. */
export type FieldNote = {
	/** Meaning of the key, a sentence. */
	readonly meaning: string;
	/** Form of the value. */
	readonly expected: string;
	/** Text taken when the key is absent; undefined when it must be set or has no value. */
	readonly default?: string;
	/** Whether the key may be absent without a default. */
	readonly isOptional?: boolean;
};

const notes = z.registry<FieldNote>();

/** Note of a key that was made here. */
export function getFieldNote(schema: z.ZodType): FieldNote | undefined {
	return notes.get(schema);
}

function textTo<T>(read: (text: string) => T | undefined) {
	return z.string().transform((text, ctx): T => {
		const value = read(text);
		if (value === undefined) {
			ctx.addIssue({code: 'custom', message: `is "${text}"`});
			return z.NEVER;
		}

		return value;
	});
}

/** A key with a default, or one that must be set. `read` gives undefined for a malformed text. */
export function field<T>(note: FieldNote, read: (text: string) => T | undefined) {
	const text = textTo(read);
	const schema = note.default === undefined ? text : text.prefault(note.default);
	return schema.register(notes, note);
}

/** A key that may be absent. */
export function optionalField<T>(note: FieldNote, read: (text: string) => T | undefined) {
	return textTo(read).optional().register(notes, {...note, isOptional: true});
}
