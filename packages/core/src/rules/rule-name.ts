/**
 * Names of pools, failure domains and targets. They are sent in headers and are therefore plain ASCII.
 */
import {LineError} from './problem.js';

const maxLength = 63;
const letters = 'abcdefghijklmnopqrstuvwxyz';
const firstCharacters = new Set(letters + letters.toUpperCase() + '0123456789');
const innerCharacters = new Set([...firstCharacters, '.', '_', '-']);

/** Expected form of a name, for messages. */
export const nameForm = 'ASCII letters, digits, dots, dashes and underscores, 63 at most, first a letter or digit';

/** Returns whether `name` is well-formed. */
export function isName(name: string): boolean {
	return firstCharacters.has(name.charAt(0))
		&& name.length <= maxLength
		&& [...name].every(character => innerCharacters.has(character));
}

/** Throws `LineError` when the name is malformed. */
export function checkName(what: string, name: string): void {
	if (!isName(name)) {
		throw new LineError(`malformed name of a ${what}: "${name}"`, nameForm);
	}
}
