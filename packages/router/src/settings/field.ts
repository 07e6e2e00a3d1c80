/**
 * Keys of the settings: how the text of a key is parsed, and the note that documents it.
 */
import {z} from 'zod';

/** Documentation of a key, shown on the settings page and in error messages. */
export type FieldNote = {
	/** Meaning of the key, as one sentence. */
	readonly meaning: string;
	/** Expected form of the value. */
	readonly expected: string;
	/** Text used when the key is absent; undefined when the key is required, or optional without a default. */
	readonly default?: string;
	/** Whether the key may be absent although it has no default. */
	readonly isOptional?: boolean;
};

const notes = z.registry<FieldNote>();

/** Returns the note of a key; undefined for a schema that neither `field` nor `optionalField` created. */
export function getFieldNote(schema: z.ZodType): FieldNote | undefined {
	return notes.get(schema);
}

function createTextSchema<T>(parse: (text: string) => T | undefined) {
	return z.string().transform((text, ctx): T => {
		const value = parse(text);
		if (value === undefined) {
			ctx.addIssue({code: 'custom', message: `is "${text}"`});
			return z.NEVER;
		}

		return value;
	});
}

/** Creates the schema of a key that is required or has a default. `parse` returns undefined for a malformed text. */
export function field<T>(note: FieldNote, parse: (text: string) => T | undefined) {
	const text = createTextSchema(parse);
	const schema = note.default === undefined ? text : text.prefault(note.default);
	return schema.register(notes, note);
}

/** Creates the schema of a key that may be absent. `parse` returns undefined for a malformed text. */
export function optionalField<T>(note: FieldNote, parse: (text: string) => T | undefined) {
	return createTextSchema(parse).optional().register(notes, {...note, isOptional: true});
}
